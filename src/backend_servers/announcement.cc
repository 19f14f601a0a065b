#include "backend_servers/announcement.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace fireflyspar::backend_servers {
namespace {

using decisions::server_state;
using nlohmann::json;

constexpr std::size_t kMaxAnnouncementBytes = 4096;

constexpr std::array kStates = {
    std::pair<std::string_view, server_state>{"starting",
                                              server_state::kStarting},
    std::pair<std::string_view, server_state>{"serving",
                                              server_state::kServing},
    std::pair<std::string_view, server_state>{"draining",
                                              server_state::kDraining},
};

base::failure BadRequest(const std::string& detail) {
  return base::Fail(base::error_kind::kBadRequest, detail);
}

base::result<std::string> TextMember(const json& object,
                                     const std::string& key) {
  const auto found = object.find(key);
  if (found == object.end()) return BadRequest("'" + key + "' is missing");
  if (!found->is_string()) {
    return BadRequest("'" + key + "' is " + found->dump() +
                      ", expected a text");
  }
  return found->get<std::string>();
}

base::result<int> SlotsMember(const json& object) {
  const auto found = object.find("slots");
  if (found == object.end()) return BadRequest("'slots' is missing");
  constexpr std::int64_t kMaxSlots = 100'000;
  const bool is_integer = found->is_number_integer();
  const std::int64_t slots = is_integer ? found->get<std::int64_t>() : 0;
  if (slots < 1 || slots > kMaxSlots) {
    return BadRequest("'slots' is " + found->dump() +
                      ", expected from 1 to 100000");
  }
  return static_cast<int>(slots);
}

base::result<server_state> ParseState(const std::string& text) {
  const auto found = std::ranges::find(
      kStates, text, [](const auto& row) { return row.first; });
  if (found == kStates.end()) {
    return BadRequest("'state' is '" + text +
                      "', expected starting, serving or draining");
  }
  return found->second;
}

}  // namespace

base::result<announcement> ParseAnnouncement(std::string_view text) {
  if (text.size() > kMaxAnnouncementBytes) {
    return base::Fail(
        base::error_kind::kTooLarge,
        std::to_string(text.size()) + " bytes, expected at most 4096");
  }
  const json object = json::parse(text, nullptr, false);
  if (!object.is_object()) return BadRequest("expected a JSON object");
  const auto service = TextMember(object, "service");
  if (!service) return service.Failure();
  const auto version = TextMember(object, "version");
  if (!version) return version.Failure();
  const auto address_text = TextMember(object, "address");
  if (!address_text) return address_text.Failure();
  const auto address = base::ParseAddress(*address_text);
  if (!address) return BadRequest("'address': " + address.Failure().detail);
  const auto state_text = TextMember(object, "state");
  if (!state_text) return state_text.Failure();
  const auto state = ParseState(*state_text);
  if (!state) return state.Failure();
  const auto slots = SlotsMember(object);
  if (!slots) return slots.Failure();
  return announcement{.server_address = *address,
                      .server = {.service = *service,
                                 .version = *version,
                                 .slots = *slots,
                                 .state = *state}};
}

std::string ToText(const announcement& value) {
  const auto state = std::ranges::find(
      kStates, value.server.state, [](const auto& row) { return row.second; });
  const json object = {
      {"service", value.server.service},
      {"version", value.server.version},
      {"address", value.server_address.ToText()},
      {"slots", value.server.slots},
      {"state", state == kStates.end() ? "absent" : state->first}};
  return object.dump();
}

}  // namespace fireflyspar::backend_servers
