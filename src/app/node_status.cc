#include "app/node_status.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

#include "decisions/move_state_text.h"

namespace fireflyspar::app {
namespace {

using nlohmann::json;

std::string_view ToText(decisions::node_state state) {
  switch (state) {
    case decisions::node_state::kAlive:
      return "alive";
    case decisions::node_state::kSuspect:
      return "suspect";
    case decisions::node_state::kDead:
      return "dead";
    case decisions::node_state::kLeft:
      return "left";
  }
  return "";
}

std::string_view ToText(decisions::server_state state) {
  switch (state) {
    case decisions::server_state::kAbsent:
      return "absent";
    case decisions::server_state::kStarting:
      return "starting";
    case decisions::server_state::kServing:
      return "serving";
    case decisions::server_state::kDraining:
      return "draining";
  }
  return "";
}

json ToJson(const decisions::member_record& member) {
  return {{"node_id", member.node_id},
          {"data_centre", member.data_centre},
          {"state", ToText(member.state)},
          {"rpc_address", member.rpc_address.ToText()},
          {"service", member.server.service},
          {"server_version", member.server.version},
          {"server_state", ToText(member.server.state)}};
}

json ToJson(const decisions::move& move) {
  return {{"id", move.id},
          {"state", decisions::ToText(move.state)},
          {"final", move.is_final},
          {"evidence", move.evidence}};
}

template <typename record>
json ToJsonArray(const std::vector<record>& records) {
  json array = json::array();
  std::ranges::transform(records, std::back_inserter(array),
                         [](const record& each) { return ToJson(each); });
  return array;
}

}  // namespace

std::string MoveStateText(const decisions::move& move) {
  std::string text(decisions::ToText(move.state));
  const bool is_over = move.state != decisions::move_state::kRunning;
  if (is_over && !move.is_final) text += "_not_final";
  return text;
}

std::string NodeStatusText(const node_identity& node,
                           const decisions::fleet_view& view) {
  json status = {{"node_id", node.node_id},
                 {"data_centre", node.data_centre},
                 {"draining", node.is_draining},
                 {"version", 0},
                 {"hash", ""},
                 {"preset", ""},
                 {"members", ToJsonArray(view.members)},
                 {"moves", ToJsonArray(view.moves)}};
  if (view.configuration) {
    status["version"] = view.configuration->id.version;
    status["hash"] = view.configuration->id.hash;
    status["preset"] = view.configuration->content.name;
  }
  return status.dump() + "\n";
}

}  // namespace fireflyspar::app
