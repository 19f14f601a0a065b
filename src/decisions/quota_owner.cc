#include "decisions/quota_owner.h"

#include <algorithm>
#include <chrono>

#include "decisions/rendezvous.h"

namespace fireflyspar::decisions {
namespace {

// Within this time all instances that the store serves have heard of one that
// joined: reads of the directory may be seconds late.
constexpr std::chrono::seconds kJoinTime{6};

// The organisations whose owners are remembered.
constexpr std::size_t kMaxRanked = 10'000;

std::string FirstFor(std::string_view organisation,
                     const std::vector<std::string>& instances) {
  std::string job("quota/");
  job.append(organisation);
  return ChooseByRendezvous(job, instances, 1).front();
}

}  // namespace

void quota_owner::OnDirectory(const server_directory& directory,
                              base::steady_instant now) {
  std::map<std::string, std::vector<std::string>, std::less<>> listed;
  for (const auto& [instance, entry] : directory.Entries()) {
    listed[entry.data_centre].push_back(instance);
  }
  const bool is_listed = directory.Entries().contains(instance_);
  const bool has_joined = !is_listed_ && is_listed;
  if (has_joined) {
    // An entry that was there before this process is known to all.
    const bool is_known = !has_first_list_ || is_first_start_;
    may_own_from_ = is_known ? now : now + kJoinTime;
  }
  has_first_list_ = true;
  is_listed_ = is_listed;
  if (listed == instances_) return;
  instances_ = std::move(listed);
  owners_.clear();
  changed_at_ = now;
}

std::vector<std::string> quota_owner::RankOwners(
    std::string_view organisation) const {
  std::vector<std::string> owners;
  const auto add = [&](const auto& data_centre) {
    owners.push_back(FirstFor(organisation, data_centre.second));
  };
  // In a circle that begins with the own data centre, so that the others don't
  // all ask the same one next.
  const auto own = instances_.lower_bound(data_centre_);
  std::for_each(own, instances_.end(), add);
  std::for_each(instances_.begin(), own, add);
  return owners;
}

const std::vector<std::string>& quota_owner::OwnersOf(
    std::string_view organisation) {
  auto found = owners_.find(organisation);
  if (found == owners_.end()) {
    if (owners_.size() >= kMaxRanked) owners_.clear();
    found = owners_.emplace(std::string(organisation), RankOwners(organisation))
                .first;
  }
  return found->second;
}

std::optional<base::steady_instant> quota_owner::OwnedSince(
    std::string_view organisation, base::steady_instant now) {
  const bool may_own = !has_left_ && is_listed_ && now >= may_own_from_;
  if (!may_own) return std::nullopt;
  const auto& owners = OwnersOf(organisation);
  if (owners.empty() || owners.front() != instance_) return std::nullopt;
  return std::max(may_own_from_, changed_at_);
}

}  // namespace fireflyspar::decisions
