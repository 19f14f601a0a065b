#include "proxy/server_entry_json.h"

#include <string>
#include <string_view>

namespace fireflyspar::proxy {
namespace {

using decisions::server_condition;
using decisions::server_entry;
using nlohmann::json;

constexpr std::string_view kServing = "serving";
constexpr std::string_view kDraining = "draining";

constexpr int kMaxSlots = 100'000;

std::optional<std::string> GetString(const json& object, const char* key) {
  const auto found = object.find(key);
  if (found == object.end() || !found->is_string()) return std::nullopt;
  return found->get<std::string>();
}

std::optional<std::int64_t> GetInteger(const json& object, const char* key) {
  const auto found = object.find(key);
  if (found == object.end() || !found->is_number_integer()) return std::nullopt;
  return found->get<std::int64_t>();
}

std::optional<server_condition> ParseCondition(std::string_view name) {
  if (name == kServing) return server_condition::kServing;
  if (name == kDraining) return server_condition::kDraining;
  return std::nullopt;
}

}  // namespace

json ToJson(const server_entry& entry) {
  const decisions::server_info& server = entry.server;
  const bool serves = server.condition == server_condition::kServing;
  return {{"instance", entry.instance},
          {"data_centre", entry.data_centre},
          {"gate", entry.gate.ToText()},
          {"server", server.id},
          {"service", server.service},
          {"version", server.version},
          {"slots", server.slots},
          {"condition", serves ? kServing : kDraining},
          {"born_ms", server.start_ms}};
}

std::optional<server_entry> ParseEntry(const std::string& name,
                                       const json& content) {
  if (!content.is_object()) return std::nullopt;
  const auto instance = GetString(content, "instance");
  const auto data_centre = GetString(content, "data_centre");
  const auto gate = GetString(content, "gate");
  const auto server = GetString(content, "server");
  const auto service = GetString(content, "service");
  const auto version = GetString(content, "version");
  const auto slots = GetInteger(content, "slots");
  const auto condition = GetString(content, "condition");
  const auto born = GetInteger(content, "born_ms");
  const bool has_all = instance && data_centre && gate && server && service &&
                       version && slots && condition && born;
  if (!has_all || *instance != name || server->empty() || service->empty()) {
    return std::nullopt;
  }
  const auto address = base::ParseAddress(*gate);
  const auto parsed_condition = ParseCondition(*condition);
  if (!address || !parsed_condition || *slots < 1 || *slots > kMaxSlots) {
    return std::nullopt;
  }
  return server_entry{.instance = *instance,
                      .data_centre = *data_centre,
                      .gate = *address,
                      .server = {.id = *server,
                                 .service = *service,
                                 .version = *version,
                                 .slots = static_cast<int>(*slots),
                                 .condition = *parsed_condition,
                                 .start_ms = *born}};
}

}  // namespace fireflyspar::proxy
