#include "platform/roster.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

#include "platform/object_formats.h"
#include "platform/reachability.h"

namespace fireflyspar::platform {
namespace {

using nlohmann::json;

// Shuffles the addresses (Fisher-Yates) with numbers from the hook.
void Shuffle(std::vector<base::address>& addresses,
             const base::random_hook& random) {
  for (std::size_t left = addresses.size(); left > 1; --left) {
    std::swap(addresses[left - 1], addresses[random() % left]);
  }
}

}  // namespace

std::string ToText(const roster& value) {
  json addresses = json::array();
  std::ranges::transform(
      value.addresses, std::back_inserter(addresses),
      [](const base::address& each) { return each.ToText(); });
  return json{{"data_centre", value.data_centre}, {"addresses", addresses}}
      .dump();
}

base::result<roster> ParseRoster(std::string_view text) {
  try {
    const json parsed = json::parse(text);
    roster value{.data_centre = parsed.at("data_centre").get<std::string>()};
    for (const json& each : parsed.at("addresses")) {
      auto address = base::ParseAddress(each.get<std::string>());
      if (!address) return address.Failure();
      value.addresses.push_back(*std::move(address));
    }
    return value;
  } catch (const json::exception& error) {
    return base::Fail(base::error_kind::kMalformedMessage, error.what());
  }
}

std::optional<std::vector<base::address>> NextRoster(
    const std::vector<base::address>& listed, std::vector<base::address> living,
    const base::random_hook& random) {
  std::ranges::sort(living);
  const auto is_living = [&](const base::address& each) {
    return std::ranges::binary_search(living, each);
  };
  std::vector<base::address> next;
  std::ranges::copy_if(listed, std::back_inserter(next), is_living);
  const std::size_t possible = std::min(living.size(), kMaxRosterAddresses);
  if (4 * next.size() >= 3 * possible) return std::nullopt;

  std::erase_if(living, [&](const base::address& each) {
    return std::ranges::find(next, each) != next.end();
  });
  Shuffle(living, random);
  const std::size_t room = kMaxRosterAddresses - next.size();
  std::ranges::copy_n(
      living.begin(),
      static_cast<std::ptrdiff_t>(std::min(room, living.size())),
      std::back_inserter(next));
  return next;
}

reconciled_object ReconciledRoster(const roster_options& options) {
  constexpr std::chrono::milliseconds kMinWriteInterval{10'000};
  return {
      .key = std::string(kRosterPrefix) + options.data_centre,
      .is_assigned = options.is_assigned,
      .next =
          [options](const std::string& current) -> std::optional<std::string> {
        const auto listed = ParseRoster(current);
        auto next = NextRoster(
            listed ? listed->addresses : std::vector<base::address>{},
            options.living(), options.random);
        if (!next) return std::nullopt;
        return ToText(roster{.data_centre = options.data_centre,
                             .addresses = *std::move(next)});
      },
      .min_write_interval = kMinWriteInterval,
  };
}

base::result<std::vector<roster>> ReadRosters(const object_api& api) {
  const auto listed = api.list(kRosterPrefix);
  if (!listed) return listed.Failure();
  std::vector<roster> rosters;
  for (const object& each : *listed) {
    auto parsed = ParseRoster(each.value);
    if (parsed) {
      rosters.push_back(*std::move(parsed));
    } else {
      LogMalformedObject(each.key, parsed.Failure());
    }
  }
  return rosters;
}

}  // namespace fireflyspar::platform
