#include "decisions/request_keepers.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include "decisions/membership.h"
#include "decisions/rendezvous.h"

namespace fireflyspar::decisions {
namespace {

// Time for which a node that vanished counts in the check for a partition.
constexpr std::chrono::hours kSplitMemory{1};

// The home and the guard of an id.
constexpr std::size_t kKeepers = 2;

}  // namespace

std::string HomeDataCentre(const request_id& id,
                           std::span<const std::string> data_centres) {
  const auto chosen = ChooseByRendezvous(id.text, data_centres, 1);
  return chosen.empty() ? std::string() : chosen.front();
}

request_keepers::request_keepers(std::string data_centre, base::instant started,
                                 claim_options options)
    : data_centre_(std::move(data_centre)),
      started_(started),
      options_(options) {}

void request_keepers::Observe(std::span<const member_record> members,
                              base::instant now) {
  for (auto& [id, seen] : sightings_) seen.is_present = false;
  for (const member_record& member : members) {
    if (member.data_centre != data_centre_) continue;
    const bool is_present = IsLiving(member);
    const auto found = sightings_.find(member.node_id);
    if (!is_present) {
      const bool left = member.state == node_state::kLeft;
      if (found != sightings_.end() && left) found->second.said_goodbye = true;
      continue;
    }
    const bool is_new = found == sightings_.end();
    sighting& seen = sightings_[member.node_id];
    // A node that is first seen within the settling time of this process is
    // taken to have been present before its start.
    if (is_new && now > started_ + options_.settling) {
      seen.chosen_from = now + options_.settling + options_.skew;
    }
    seen.is_present = true;
    seen.said_goodbye = false;
    seen.last_present = now;
  }
  std::erase_if(sightings_, [now](const auto& entry) {
    return !entry.second.is_present &&
           now > entry.second.last_present + kSplitMemory;
  });
}

bool request_keepers::MaySplit(base::instant now) const {
  std::size_t present = 0;
  std::size_t vanished = 0;
  for (const auto& [id, seen] : sightings_) {
    const bool recent = now <= seen.last_present + kSplitMemory;
    if (seen.is_present) {
      ++present;
    } else if (recent && !seen.said_goodbye) {
      ++vanished;
    }
  }
  return vanished > 0 && vanished >= present;
}

std::optional<keepers> request_keepers::KeepersOf(const request_id& id,
                                                  base::instant now) const {
  if (MaySplit(now)) return std::nullopt;
  const base::duration max_claim_age = options_.life + options_.skew;
  std::vector<std::string> candidates;
  for (const auto& [node_id, seen] : sightings_) {
    const bool is_candidate =
        seen.is_present || now <= seen.last_present + max_claim_age;
    if (is_candidate && id.birth >= seen.chosen_from)
      candidates.push_back(node_id);
  }
  const auto chosen = ChooseByRendezvous(id.text, candidates, kKeepers);
  if (chosen.size() < kKeepers) return std::nullopt;
  const bool all_present =
      std::ranges::all_of(chosen, [this](const std::string& node_id) {
        return sightings_.find(node_id)->second.is_present;
      });
  if (!all_present) return std::nullopt;
  return keepers{.home = chosen.front(), .guard = chosen.back()};
}

}  // namespace fireflyspar::decisions
