// The text form of an announcement: the body of POST /announce, as in
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

// `state` is "starting", "serving" or "draining". Unknown keys are passed over.
base::result<announcement> ParseAnnouncement(std::string_view text);

std::string ToText(const announcement& value);

}  // namespace fireflyspar::backend_servers

#endif  // FIREFLYSPAR_BACKEND_SERVERS_ANNOUNCEMENT_H_
