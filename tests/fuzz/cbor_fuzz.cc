// libFuzzer target for CBOR documents. Arbitrary bytes are either refused or
// decoded whole: what is left after the replacements can always be read.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <memory>
#include <string_view>

#include "base/readable_cbor.h"
#include "config/cbor_document.h"
#include "config/json_document.h"

namespace base = fireflyspar::base;
namespace config = fireflyspar::config;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  constexpr std::size_t kMaxDepth = 64;
  const bool is_well_formed = base::MakeReadable(bytes, kMaxDepth).has_value();
  const auto decoded = config::DecodeCbor(bytes);
  if (decoded.is_discarded() == is_well_formed) std::abort();
  // Comparing, copying and printing recurse.
  const auto copy = std::make_unique<const nlohmann::json>(decoded);
  if (is_well_formed && config::DumpJson(*copy).empty()) std::abort();
  return 0;
}
