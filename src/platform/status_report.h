// What operators read of a data centre: which configuration version is in force
// on how many of its nodes, and which nodes lag. Written by one or two nodes of
// the data centre, only on change and at a bounded rate, and refreshed once a
// minute so that a status whose writers are cut off shows its age.
//
// At 6,700 configuration changes a day, 0.078 a second, and about two writes
// for each (some nodes, then all of them) by two writers in 4 data centres that
// is 0.078 * 2 * 2 * 4, or 1.2 writes a second; refreshing adds 8 / 60, or
// 0.13. Never more than one a second by each writer: 8 a second for the fleet.
#ifndef FIREFLYSPAR_PLATFORM_STATUS_REPORT_H_
#define FIREFLYSPAR_PLATFORM_STATUS_REPORT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "base/hooks.h"
#include "base/result.h"
#include "platform/object_api.h"
#include "platform/object_keeper.h"

namespace fireflyspar::platform {

// Names of lagging nodes that a status lists; the counts are always whole.
inline constexpr std::size_t kMaxLaggingNames = 20;

struct version_count {
  std::uint64_t version = 0;  // Zero: nodes that have none yet.
  int nodes = 0;

  bool operator==(const version_count&) const = default;
};

struct status_report {
  std::string data_centre;
  std::vector<version_count> versions;  // Greatest first.
  int nodes = 0;                        // Living nodes that were heard from.
  std::vector<std::string> lagging;     // Node ids, sorted; the first few.
  base::instant written_at;

  bool operator==(const status_report&) const = default;
};

// One node's version, as the writer of the status heard of it.
struct node_version {
  std::string node_id;
  std::uint64_t version = 0;
};

// Counts the versions; a node lags when its version is less than the greatest.
status_report MakeStatusReport(const std::string& data_centre,
                               std::vector<node_version> nodes,
                               base::instant now);

std::string ToText(const status_report& value);
base::result<status_report> ParseStatusReport(std::string_view text);

struct status_report_options {
  std::string data_centre;
  base::clock_hook clock;
  std::function<bool()> has_job;
  // The living nodes of this data centre and their versions.
  std::function<std::vector<node_version>()> observe;
};

// The status of a data centre, to be kept by an object_keeper.
kept_object KeptStatusReport(const status_report_options& options);

// Every data centre's status, by one list call; a malformed one is left out.
base::result<std::vector<status_report>> ReadStatusReports(
    const object_api& api);

}  // namespace fireflyspar::platform

#endif  // FIREFLYSPAR_PLATFORM_STATUS_REPORT_H_
