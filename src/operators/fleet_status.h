// Which version is in force where, as the data centres' status objects at the
// platform tell it, and waiting until a version is in force everywhere.
#ifndef FIREFLYSPAR_OPERATORS_FLEET_STATUS_H_
#define FIREFLYSPAR_OPERATORS_FLEET_STATUS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "operators/command_line.h"
#include "platform/records.h"
#include "platform/status_report.h"

namespace fireflyspar::operators {

struct fleet_status {
  std::optional<platform::in_force> in_force;
  std::vector<platform::status_report> data_centres;
};

base::result<fleet_status> ReadFleetStatus(const context& with);

// Of `expected`, the data centres that have not told that all of their nodes
// have `version` or a later one, each with what it did tell.
std::vector<std::string> NotThereYet(
    const std::vector<std::string>& expected,
    const std::vector<platform::status_report>& reports, std::uint64_t version);

// Waits, with progress, until every data centre of the chosen preset has its
// version; gives the exit code.
int WaitForVersion(const invocation& call, const context& with,
                   const platform::in_force& chosen);

}  // namespace fireflyspar::operators

#endif  // FIREFLYSPAR_OPERATORS_FLEET_STATUS_H_
