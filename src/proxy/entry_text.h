// The form in which gates publish their server's entry in the store. An entry
// that lacks a field, or holds one of another type or an unknown word, may come
// from another writer and names no server.
#ifndef FIREFLYSPAR_PROXY_ENTRY_TEXT_H_
#define FIREFLYSPAR_PROXY_ENTRY_TEXT_H_

#include <nlohmann/json.hpp>
#include <optional>

#include "decisions/server_directory.h"

namespace fireflyspar::proxy {

nlohmann::json ToJson(const decisions::server_entry& entry);

// `name` is the object's, and has to be the entry's instance.
std::optional<decisions::server_entry> ParseEntry(const std::string& name,
                                                  const nlohmann::json& text);

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_ENTRY_TEXT_H_
