#include "decisions/claim_holder_selector.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include "decisions/membership.h"
#include "decisions/rendezvous.h"

namespace fireflyspar::decisions {
namespace {

// How long a node that vanished is remembered and counts in the check for a
// partition.
constexpr std::chrono::hours kVanishedRetention{1};

// The home and the guard of an id.
constexpr std::size_t kHolders = 2;

}  // namespace

std::string HomeDataCentre(const request_id& id,
                           std::span<const std::string> data_centres) {
  const auto chosen = ChooseByRendezvous(id.text, data_centres, 1);
  return chosen.empty() ? std::string() : chosen.front();
}

claim_holder_selector::claim_holder_selector(std::string data_centre,
                                             base::instant started,
                                             claim_options options)
    : data_centre_(std::move(data_centre)),
      started_(started),
      options_(options) {}

void claim_holder_selector::Observe(std::span<const member_record> members,
                                    base::instant now) {
  for (auto& [id, peer] : peers_) peer.is_present = false;
  for (const member_record& member : members) {
    if (member.data_centre != data_centre_) continue;
    const bool is_present = IsLiving(member);
    const auto found = peers_.find(member.node_id);
    if (!is_present) {
      const bool left = member.state == node_state::kLeft;
      if (found != peers_.end() && left) found->second.has_left = true;
      continue;
    }
    const bool is_new = found == peers_.end();
    peer_history& peer = peers_[member.node_id];
    // A node that is first seen within the discovery time of this process is
    // taken to have been present before its start.
    if (is_new && now > started_ + options_.discovery_time) {
      peer.chosen_from =
          now + options_.discovery_time + options_.max_clock_skew;
    }
    peer.is_present = true;
    peer.has_left = false;
    peer.last_present = now;
  }
  std::erase_if(peers_, [now](const auto& entry) {
    return !entry.second.is_present &&
           now > entry.second.last_present + kVanishedRetention;
  });
}

bool claim_holder_selector::MayBePartitioned(base::instant now) const {
  std::size_t present = 0;
  std::size_t vanished = 0;
  for (const auto& [id, peer] : peers_) {
    const bool recent = now <= peer.last_present + kVanishedRetention;
    if (peer.is_present) {
      ++present;
    } else if (recent && !peer.has_left) {
      ++vanished;
    }
  }
  return vanished > 0 && vanished >= present;
}

std::optional<claim_holders> claim_holder_selector::FindClaimHolders(
    const request_id& id, base::instant now) const {
  if (MayBePartitioned(now)) return std::nullopt;
  const base::duration max_claim_age =
      options_.id_lifetime + options_.max_clock_skew;
  std::vector<std::string> candidates;
  for (const auto& [node_id, peer] : peers_) {
    const bool is_candidate =
        peer.is_present || now <= peer.last_present + max_claim_age;
    if (is_candidate && id.creation_time >= peer.chosen_from) {
      candidates.push_back(node_id);
    }
  }
  const auto chosen = ChooseByRendezvous(id.text, candidates, kHolders);
  if (chosen.size() < kHolders) return std::nullopt;
  const bool all_present =
      std::ranges::all_of(chosen, [this](const std::string& node_id) {
        return peers_.find(node_id)->second.is_present;
      });
  if (!all_present) return std::nullopt;
  return claim_holders{.home = chosen.front(), .guard = chosen.back()};
}

}  // namespace fireflyspar::decisions
