// The encoding of suspects between processes and in the store. Times are sent
// as ages, since the clocks of two instances may differ.
#ifndef FIREFLYSPAR_PROXY_SUSPECT_JSON_H_
#define FIREFLYSPAR_PROXY_SUSPECT_JSON_H_

#include <nlohmann/json.hpp>
#include <optional>

#include "decisions/crash_suspects.h"

namespace fireflyspar::proxy {

nlohmann::json ToJson(const decisions::suspect& known,
                      base::steady_instant now);

// Returns nothing if a field is missing, of another type or out of range: what
// a peer sends costs a bounded amount of memory.
std::optional<decisions::suspect> ParseSuspect(const nlohmann::json& from,
                                               base::steady_instant now);

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_SUSPECT_JSON_H_
