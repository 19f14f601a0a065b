#include "platform/status_report.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "platform/object_formats.h"
#include "platform/reachability.h"

namespace fireflyspar::platform {
namespace {

using nlohmann::json;

constexpr std::chrono::seconds kRefreshEvery{60};

// Returns whether the reports are equal except for the time.
bool SameContent(status_report left, const status_report& right) {
  left.written_at = right.written_at;
  return left == right;
}

}  // namespace

status_report MakeStatusReport(const std::string& data_centre,
                               std::vector<node_version> nodes,
                               base::instant now) {
  std::ranges::sort(nodes, {}, &node_version::node_id);
  std::map<std::uint64_t, int, std::greater<>> counts;
  for (const node_version& each : nodes) ++counts[each.version];

  status_report report{.data_centre = data_centre,
                       .nodes = static_cast<int>(nodes.size()),
                       .written_at = now};
  std::ranges::transform(
      counts, std::back_inserter(report.versions), [](const auto& entry) {
        return version_count{.version = entry.first, .nodes = entry.second};
      });
  for (const node_version& each : nodes) {
    if (report.lagging.size() == kMaxLaggingNames) break;
    if (each.version < report.versions.front().version) {
      report.lagging.push_back(each.node_id);
    }
  }
  return report;
}

std::string ToText(const status_report& value) {
  json versions = json::array();
  std::ranges::transform(value.versions, std::back_inserter(versions),
                         [](const version_count& each) -> json {
                           return {{"version", each.version},
                                   {"nodes", each.nodes}};
                         });
  return json{{"data_centre", value.data_centre},
              {"versions", versions},
              {"nodes", value.nodes},
              {"lagging", value.lagging},
              {"written_at_us", value.written_at.time_since_epoch().count()}}
      .dump();
}

base::result<status_report> ParseStatusReport(std::string_view text) {
  try {
    const json parsed = json::parse(text);
    status_report value{
        .data_centre = parsed.at("data_centre").get<std::string>(),
        .nodes = parsed.at("nodes").get<int>(),
        .lagging = parsed.at("lagging").get<std::vector<std::string>>(),
        .written_at = base::instant(
            base::duration(parsed.at("written_at_us").get<std::int64_t>()))};
    std::ranges::transform(
        parsed.at("versions"), std::back_inserter(value.versions),
        [](const json& each) {
          return version_count{
              .version = each.at("version").get<std::uint64_t>(),
              .nodes = each.at("nodes").get<int>()};
        });
    return value;
  } catch (const json::exception& error) {
    return base::Fail(base::error_kind::kMalformedMessage, error.what());
  }
}

reconciled_object ReconciledStatusReport(const status_report_options& options) {
  constexpr std::chrono::milliseconds kMinWriteInterval{1000};
  return {
      .key = std::string(kStatusPrefix) + options.data_centre,
      .is_assigned = options.is_assigned,
      .next =
          [options](const std::string& current) -> std::optional<std::string> {
        const base::instant now = options.clock();
        const auto next =
            MakeStatusReport(options.data_centre, options.observe(), now);
        const auto held = ParseStatusReport(current);
        const bool fresh = held && now < held->written_at + kRefreshEvery;
        if (fresh && SameContent(next, *held)) return std::nullopt;
        return ToText(next);
      },
      .min_write_interval = kMinWriteInterval,
  };
}

base::result<std::vector<status_report>> ReadStatusReports(
    const object_api& api) {
  const auto listed = api.list(kStatusPrefix);
  if (!listed) return listed.Failure();
  std::vector<status_report> reports;
  for (const object& each : *listed) {
    auto parsed = ParseStatusReport(each.value);
    if (parsed) {
      reports.push_back(*std::move(parsed));
    } else {
      LogMalformedObject(each.key, parsed.Failure());
    }
  }
  return reports;
}

}  // namespace fireflyspar::platform
