#include "config/cbor_document.h"

#include "base/readable_cbor.h"

namespace fireflyspar::config {
namespace {

using nlohmann::json;

// Documents nest about five deep.
constexpr std::size_t kMaxDepth = 64;

}  // namespace

json DecodeCbor(std::string_view bytes) {
  const auto readable = base::MakeReadable(bytes, kMaxDepth);
  if (!readable) return json(json::value_t::discarded);
  constexpr bool kNothingMayFollow = true;
  constexpr bool kThrows = false;
  const bool is_unchanged = readable->replacements == 0;
  return json::from_cbor(is_unchanged ? bytes : readable->replaced,
                         kNothingMayFollow, kThrows);
}

}  // namespace fireflyspar::config
