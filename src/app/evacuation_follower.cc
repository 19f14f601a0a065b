#include "app/evacuation_follower.h"

#include <algorithm>
#include <string>
#include <utility>

namespace fireflyspar::app {
namespace {

using data_centre_set = decisions::evacuations::data_centre_set;
using nlohmann::json;

// Name of the object that peers pass on.
constexpr char kSharedName[] = "all";

std::string ToText(const data_centre_set& data_centres) {
  std::string text;
  for (const std::string& each : data_centres) {
    if (!text.empty()) text.push_back(',');
    text.append(each);
  }
  return text;
}

}  // namespace

void evacuation_follower::OnList(const proxy::object_list& listed) {
  watched_.clear();
  std::ranges::transform(listed.objects,
                         std::inserter(watched_, watched_.end()),
                         &proxy::stored_object::name);
  Put(watched_, listed.revision);
}

void evacuation_follower::OnChange(const proxy::object_change& change) {
  if (change.is_removal) {
    watched_.erase(change.object.name);
  } else {
    watched_.insert(change.object.name);
  }
}

void evacuation_follower::OnWatched(const base::store_revision& revision) {
  Put(watched_, revision);
}

bool evacuation_follower::OnPeer(const proxy::stored_object& shared) {
  const bool is_list =
      shared.content.is_array() &&
      std::ranges::all_of(shared.content,
                          [](const json& each) { return each.is_string(); });
  if (!is_list) return false;
  Put(shared.content.get<data_centre_set>(), shared.revision);
  return true;
}

proxy::stored_object evacuation_follower::Shared() const {
  return {.name = kSharedName,
          .revision = known_.Revision(),
          .create_revision = known_.Revision(),
          .content = known_.DataCentres()};
}

void evacuation_follower::Put(data_centre_set data_centres,
                              const base::store_revision& revision) {
  if (!known_.Put(std::move(data_centres), revision)) return;
  options_.log->Write(base::event_priority::kStateChange, "evacuations",
                      {{"data_centres", ToText(known_.DataCentres())},
                       {"revision", revision.ToText()}});
  options_.on_change();
}

}  // namespace fireflyspar::app
