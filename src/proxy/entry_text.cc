#include "proxy/entry_text.h"

#include <string>
#include <string_view>

namespace fireflyspar::proxy {
namespace {

using decisions::server_condition;
using decisions::server_entry;
using nlohmann::json;

constexpr std::string_view kServing = "serving";
constexpr std::string_view kDraining = "draining";

constexpr int kMostSlots = 100'000;

std::optional<std::string> TextAt(const json& from, const char* key) {
  const auto found = from.find(key);
  if (found == from.end() || !found->is_string()) return std::nullopt;
  return found->get<std::string>();
}

std::optional<std::int64_t> NumberAt(const json& from, const char* key) {
  const auto found = from.find(key);
  if (found == from.end() || !found->is_number_integer()) return std::nullopt;
  return found->get<std::int64_t>();
}

std::optional<server_condition> ConditionNamed(std::string_view name) {
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
          {"born_ms", server.born_ms}};
}

std::optional<server_entry> ParseEntry(const std::string& name,
                                       const json& text) {
  if (!text.is_object()) return std::nullopt;
  const auto instance = TextAt(text, "instance");
  const auto data_centre = TextAt(text, "data_centre");
  const auto gate = TextAt(text, "gate");
  const auto server = TextAt(text, "server");
  const auto service = TextAt(text, "service");
  const auto version = TextAt(text, "version");
  const auto slots = NumberAt(text, "slots");
  const auto condition = TextAt(text, "condition");
  const auto born = NumberAt(text, "born_ms");
  const bool has_all = instance && data_centre && gate && server && service &&
                       version && slots && condition && born;
  if (!has_all || *instance != name || server->empty() || service->empty()) {
    return std::nullopt;
  }
  const auto address = base::ParseAddress(*gate);
  const auto known = ConditionNamed(*condition);
  if (!address || !known || *slots < 1 || *slots > kMostSlots) {
    return std::nullopt;
  }
  return server_entry{.instance = *instance,
                      .data_centre = *data_centre,
                      .gate = *address,
                      .server = {.id = *server,
                                 .service = *service,
                                 .version = *version,
                                 .slots = static_cast<int>(*slots),
                                 .condition = *known,
                                 .born_ms = *born}};
}

}  // namespace fireflyspar::proxy
