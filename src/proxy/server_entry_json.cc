#include "proxy/server_entry_json.h"

#include <limits>
#include <string>
#include <string_view>

#include "base/utf8.h"

namespace fireflyspar::proxy {
namespace {

using decisions::server_condition;
using decisions::server_entry;
using nlohmann::json;

constexpr std::string_view kServing = "serving";
constexpr std::string_view kDraining = "draining";

constexpr int kMaxSlots = 100'000;

// Texts of an entry are names.
constexpr std::size_t kMaxTextBytes = 256;

std::optional<std::string> GetString(const json& object, const char* key) {
  const auto found = object.find(key);
  if (found == object.end() || !found->is_string()) return std::nullopt;
  const auto& text = found->get_ref<const std::string&>();
  const bool is_name = text.size() <= kMaxTextBytes && base::IsUtf8(text);
  return is_name ? std::optional(text) : std::nullopt;
}

// Returns a whole number from zero to `max`.
std::optional<std::int64_t> GetInteger(const json& object, const char* key,
                                       std::int64_t max) {
  const auto found = object.find(key);
  if (found == object.end() || !found->is_number_integer()) return std::nullopt;
  // A number beyond the signed type becomes negative.
  const auto number = found->get<std::int64_t>();
  const bool is_in_range = number >= 0 && number <= max;
  return is_in_range ? std::optional(number) : std::nullopt;
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
  const auto slots = GetInteger(content, "slots", kMaxSlots);
  const auto condition = GetString(content, "condition");
  const auto born =
      GetInteger(content, "born_ms", std::numeric_limits<std::int64_t>::max());
  const bool has_all = instance && data_centre && gate && server && service &&
                       version && slots && condition && born;
  if (!has_all || *instance != name || server->empty() || service->empty()) {
    return std::nullopt;
  }
  const auto address = base::ParseAddress(*gate);
  const auto parsed_condition = ParseCondition(*condition);
  const bool has_address = address && address->port != 0;
  if (!has_address || !parsed_condition || *slots < 1) return std::nullopt;
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
