// Reads which configuration version is in force in which data centre, from the
// status objects that the data centres store at the platform, and waits until a
// version is in force everywhere.
#ifndef FIREFLYSPAR_OPERATORS_FLEET_STATUS_H_
#define FIREFLYSPAR_OPERATORS_FLEET_STATUS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "operators/command_line.h"
#include "platform/object_formats.h"
#include "platform/status_report.h"

namespace fireflyspar::operators {

struct fleet_status {
  std::optional<platform::in_force> in_force;
  std::vector<platform::status_report> data_centres;
};

// Reads the preset in force and all data centres' status from the platform.
base::result<fleet_status> ReadFleetStatus(const context& ctx);

// Returns the data centres in `expected` that have not reported `version` or a
// later one for all of their nodes, each with what it has reported.
std::vector<std::string> LaggingDataCentres(
    const std::vector<std::string>& expected,
    const std::vector<platform::status_report>& reports, std::uint64_t version);

// Waits, printing progress, until every data centre that the chosen preset
// names has its version at all nodes; returns the exit code.
int WaitForVersion(const invocation& call, const context& ctx,
                   const platform::in_force& chosen);

}  // namespace fireflyspar::operators

#endif  // FIREFLYSPAR_OPERATORS_FLEET_STATUS_H_
