#include "app/connection_blocklist.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace fireflyspar::app {

base::status connection_blocklist::Set(std::string_view text) {
  const auto parsed = nlohmann::json::parse(text, nullptr, false);
  const bool is_list_of_texts =
      parsed.is_array() && std::ranges::all_of(parsed, [](const auto& entry) {
        return entry.is_string() && !entry.template get<std::string>().empty();
      });
  if (!is_list_of_texts) {
    return base::Fail(base::error_kind::kBadRequest,
                      "'" + std::string(text) +
                          "' is not a JSON array of addresses' beginnings");
  }
  auto prefixes = parsed.get<std::vector<std::string>>();
  const std::lock_guard lock(mutex_);
  prefixes_ = std::move(prefixes);
  return base::success{};
}

bool connection_blocklist::Allows(const base::address& peer) const {
  const std::string text = peer.ToText();
  const std::lock_guard lock(mutex_);
  return std::ranges::none_of(prefixes_, [&](const std::string& prefix) {
    return text.starts_with(prefix);
  });
}

}  // namespace fireflyspar::app
