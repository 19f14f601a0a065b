// Converts server entries to and from the JSON in which gates publish them in
// the store. The store has other writers too, so an entry with a missing field,
// a field of the wrong type or an unknown value is rejected.
#ifndef FIREFLYSPAR_PROXY_SERVER_ENTRY_JSON_H_
#define FIREFLYSPAR_PROXY_SERVER_ENTRY_JSON_H_

#include <nlohmann/json.hpp>
#include <optional>

#include "decisions/server_directory.h"

namespace fireflyspar::proxy {

nlohmann::json ToJson(const decisions::server_entry& entry);

// Returns nullopt for an invalid entry. `name` is the name of the stored
// object, which must equal the entry's instance.
std::optional<decisions::server_entry> ParseEntry(
    const std::string& name, const nlohmann::json& content);

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_SERVER_ENTRY_JSON_H_
