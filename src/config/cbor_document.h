// Decodes CBOR documents that any writer may have sent.
#ifndef FIREFLYSPAR_CONFIG_CBOR_DOCUMENT_H_
#define FIREFLYSPAR_CONFIG_CBOR_DOCUMENT_H_

#include <nlohmann/json.hpp>
#include <string_view>

namespace fireflyspar::config {

// Returns the document; a discarded value if the bytes are not exactly one
// well-formed item. Values that no document of this program holds are null in
// it (base/readable_cbor.h).
nlohmann::json DecodeCbor(std::string_view bytes);

}  // namespace fireflyspar::config

#endif  // FIREFLYSPAR_CONFIG_CBOR_DOCUMENT_H_
