// What a router does about requests under which backend servers ended: it
// offers them to no gate when they are withheld, and to the one gate that tries
// them when they are on trial. All routers that know the same choose the same
// gate, so that such a request does not end several servers at once.
#ifndef FIREFLYSPAR_PROXY_ROUTER_SUSPECTS_H_
#define FIREFLYSPAR_PROXY_ROUTER_SUSPECTS_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "backend_servers/http.h"
#include "decisions/crash_suspects.h"
#include "decisions/server_directory.h"

namespace fireflyspar::proxy {

// The identity of a request that is routed, once it was needed.
struct routed_identity {
  std::optional<std::uint64_t> head_hash;
  std::optional<decisions::request_identity> whole;
};

// Returns what is known of the request; null if nothing is. Valid until the
// next change of `suspects`.
const decisions::suspect* FindSuspect(
    const decisions::crash_suspects& suspects, std::string_view service,
    std::string_view caller, const backend_servers::http_request& request,
    routed_identity& identity);

using server_list = std::vector<const decisions::server_entry*>;

// Returns the servers at which a request on trial is tried, best first: where
// no server has ended under it yet, and in the same order in all processes.
server_list TrialOrder(const decisions::suspect& known,
                       const server_list& servers);

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_ROUTER_SUSPECTS_H_
