#include "operators/fleet_status.h"

#include <algorithm>

#include "operators/platform_calls.h"
#include "operators/preset_commands.h"

namespace fireflyspar::operators {
namespace {

using platform::status_report;
using platform::version_count;

int NodesWith(const status_report& report, std::uint64_t version) {
  int nodes = 0;
  for (const version_count& each : report.versions) {
    if (each.version >= version) nodes += each.nodes;
  }
  return nodes;
}

std::string Join(const std::vector<std::string>& parts) {
  std::string text;
  for (const std::string& part : parts) {
    if (!text.empty()) text += "; ";
    text += part;
  }
  return text;
}

// Returns the data centres that the chosen preset names.
base::result<std::vector<std::string>> DataCentresOf(
    const context& ctx, const platform::in_force& chosen) {
  const auto text =
      Get(ctx, std::string(platform::kSnapshotPrefix) + chosen.id.hash);
  if (!text) return text.Failure();
  const auto snapshot = config::MakeSnapshot(chosen.id, text->value);
  if (!snapshot) return snapshot.Failure();
  return (*snapshot)->content.data_centres;
}

}  // namespace

base::result<fleet_status> ReadFleetStatus(const context& ctx) {
  auto current = ReadInForce(ctx);
  if (!current) return current.Failure();
  auto reports = platform::ReadStatusReports(ctx.platform);
  if (!reports) return reports.Failure();
  return fleet_status{.in_force = *std::move(current),
                      .data_centres = *std::move(reports)};
}

std::vector<std::string> LaggingDataCentres(
    const std::vector<std::string>& expected,
    const std::vector<status_report>& reports, std::uint64_t version) {
  std::vector<std::string> behind;
  for (const std::string& name : expected) {
    const auto report =
        std::ranges::find(reports, name, &status_report::data_centre);
    if (report == reports.end()) {
      behind.push_back(name + ": no status reported");
      continue;
    }
    const int nodes_with_version = NodesWith(*report, version);
    if (nodes_with_version == report->nodes && nodes_with_version > 0) continue;
    behind.push_back(name + ": " + std::to_string(nodes_with_version) + " of " +
                     std::to_string(report->nodes) + " nodes");
  }
  return behind;
}

int WaitForVersion(const invocation& call, const context& ctx,
                   const platform::in_force& chosen) {
  const auto expected = DataCentresOf(ctx, chosen);
  if (!expected) return ReportFailure(call, expected.Failure());
  std::string last;
  const auto is_over = [&]() -> std::optional<int> {
    const auto reports = platform::ReadStatusReports(ctx.platform);
    const std::string now =
        reports
            ? Join(LaggingDataCentres(*expected, *reports, chosen.id.version))
            : reports.Failure().detail;
    if (reports && now.empty()) return 0;
    if (now != last) call.PrintProgress("waiting for " + now);
    last = now;
    return {};
  };
  return WaitUntil(call, is_over, [&] {
    return "version " + std::to_string(chosen.id.version) +
           " is accepted, but not yet known to be in force everywhere: " + last;
  });
}

}  // namespace fireflyspar::operators
