// Parses and formats the body of POST /announce, by which a backend server
// announces itself to the node beside it, for example
// {"service":"stock","version":"v2","address":"10.0.0.5:9000","slots":6,
//  "state":"serving"}.
#ifndef FIREFLYSPAR_BACKEND_SERVERS_ANNOUNCEMENT_H_
#define FIREFLYSPAR_BACKEND_SERVERS_ANNOUNCEMENT_H_

#include <string>
#include <string_view>

#include "backend_servers/gate.h"
#include "base/result.h"

namespace fireflyspar::backend_servers {

inline constexpr char kAnnouncePath[] = "/announce";

// Parses an announcement. `state` must be "starting", "serving" or "draining".
// Unknown keys are ignored.
base::result<announcement> ParseAnnouncement(std::string_view text);

std::string ToText(const announcement& value);

}  // namespace fireflyspar::backend_servers

#endif  // FIREFLYSPAR_BACKEND_SERVERS_ANNOUNCEMENT_H_
