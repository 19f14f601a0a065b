// Defines the status of a data centre that operators read: on how many of its
// nodes each configuration version is in force, and which nodes lag. One or two
// nodes of the data centre write it, only when it changes and at a bounded
// rate. They also refresh it once a minute, so that its age shows when the
// writers cannot reach the platform.
//
// At 6,700 configuration changes a day, or 0.078 a second, each causes about
// two writes (when some nodes have it, then when all have it) by two writers in
// each of 4 data centres: 0.078 * 2 * 2 * 4, or 1.2 writes a second. Refreshing
// adds 8 / 60, or 0.13. Each writer writes at most once a second, which makes
// at most 8 a second for the fleet.
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
#include "platform/object_reconciler.h"

namespace fireflyspar::platform {

// Greatest number of lagging nodes that a status names; its counts include all
// nodes.
inline constexpr std::size_t kMaxLaggingNames = 20;

struct version_count {
  std::uint64_t version = 0;  // Zero: the nodes have no version yet.
  int nodes = 0;

  bool operator==(const version_count&) const = default;
};

struct status_report {
  std::string data_centre;
  std::vector<version_count> versions;  // Greatest first.
  int nodes = 0;                        // Living nodes known to the writer.
  std::vector<std::string> lagging;     // Sorted node ids, the first few.
  base::instant written_at;

  bool operator==(const status_report&) const = default;
};

// One node's configuration version, as known to the writer of the status.
struct node_version {
  std::string node_id;
  std::uint64_t version = 0;
};

// Counts the nodes at each version. A node lags if its version is less than the
// greatest one.
status_report MakeStatusReport(const std::string& data_centre,
                               std::vector<node_version> nodes,
                               base::instant now);

std::string ToText(const status_report& value);
base::result<status_report> ParseStatusReport(std::string_view text);

struct status_report_options {
  std::string data_centre;
  base::clock_hook clock;
  std::function<bool()> is_assigned;
  // Returns the living nodes of this data centre and their versions.
  std::function<std::vector<node_version>()> observe;
};

// Describes a data centre's status for an object_reconciler.
reconciled_object ReconciledStatusReport(const status_report_options& options);

// Reads all statuses by one list call. Logs and leaves out malformed ones.
base::result<std::vector<status_report>> ReadStatusReports(
    const object_api& api);

}  // namespace fireflyspar::platform

#endif  // FIREFLYSPAR_PLATFORM_STATUS_REPORT_H_
