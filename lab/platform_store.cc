#include "lab/platform_store.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace fireflyspar::lab {
namespace {

constexpr std::size_t kMaxKeptRemovals = 1000;

}  // namespace

platform::object platform_store::Get(std::string_view key) const {
  const auto found = objects_.find(key);
  if (found == objects_.end()) return {.key = std::string(key)};
  return found->second;
}

std::uint64_t platform_store::Put(std::string_view key, std::string value,
                                  std::uint64_t if_version) {
  const platform::object current = Get(key);
  if (current.version != if_version) return 0;
  if (current.version != 0) previous_[current.key] = current;
  objects_[current.key] = {.key = current.key,
                           .version = ++last_version_,
                           .value = std::move(value)};
  return last_version_;
}

std::uint64_t platform_store::Remove(std::string_view key,
                                     std::uint64_t if_version) {
  const auto found = objects_.find(key);
  if (found == objects_.end() || found->second.version != if_version) return 0;
  objects_.erase(found);
  previous_.erase(std::string(key));
  removals_.push_back({.key = std::string(key), .version = ++last_version_});
  if (removals_.size() > kMaxKeptRemovals) removals_.pop_front();
  return last_version_;
}

std::vector<platform::object> platform_store::List(
    std::string_view prefix) const {
  std::vector<platform::object> listed;
  for (auto each = objects_.lower_bound(prefix);
       each != objects_.end() && each->first.starts_with(prefix); ++each) {
    listed.push_back(each->second);
  }
  return listed;
}

std::vector<platform::object> platform_store::ChangedAfter(
    std::string_view prefix, std::uint64_t after) const {
  std::vector<platform::object> changed = List(prefix);
  std::erase_if(changed, [after](const platform::object& each) {
    return each.version <= after;
  });
  // A watch from version 0 gets the existing objects, without past removals.
  if (after == 0) return changed;
  std::ranges::copy_if(removals_, std::back_inserter(changed),
                       [&](const platform::object& each) {
                         return each.version > after &&
                                each.key.starts_with(prefix);
                       });
  return changed;
}

std::vector<platform::object> platform_store::StaleChangedAfter(
    std::string_view prefix, std::uint64_t after) const {
  std::vector<platform::object> changed = ChangedAfter(prefix, after);
  std::ranges::transform(changed, changed.begin(),
                         [this](const platform::object& each) {
                           const auto old = previous_.find(each.key);
                           return old == previous_.end() ? each : old->second;
                         });
  return changed;
}

}  // namespace fireflyspar::lab
