// libFuzzer target for deltas. Applying an arbitrary delta either fails or
// yields a text with the delta's result hash, and the delta between any two
// texts turns the first into the second.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "base/hash.h"
#include "config/delta.h"

namespace config = fireflyspar::config;
namespace base = fireflyspar::base;

namespace {

// Reads numbers and texts from the front of the input.
class input {
 public:
  explicit input(std::string_view bytes) : bytes_(bytes) {}

  bool Empty() const { return bytes_.empty(); }

  std::uint32_t Number(std::size_t width) {
    std::uint32_t number = 0;
    for (const char byte : Text(width)) {
      number = (number << 8) | static_cast<unsigned char>(byte);
    }
    return number;
  }

  std::string Text(std::size_t size) {
    const std::string_view taken = bytes_.substr(0, size);
    bytes_.remove_prefix(taken.size());
    return std::string(taken);
  }

 private:
  std::string_view bytes_;
};

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  input reader({reinterpret_cast<const char*>(data), size});
  const std::string from = reader.Text(reader.Number(1));
  const std::string to = reader.Text(reader.Number(1));
  const config::delta made = config::MakeDelta(from, to);
  const auto round_trip = config::ApplyDelta(from, made);
  if (!round_trip || *round_trip != to) std::abort();

  config::delta any = {.base_hash = made.base_hash,
                       .result_hash = made.result_hash};
  while (!reader.Empty()) {
    const std::size_t width = reader.Number(1) % 2 == 0 ? 1 : 4;
    any.edits.push_back({.offset = reader.Number(width),
                         .removed = reader.Number(width),
                         .added = reader.Text(reader.Number(1))});
  }
  const auto applied = config::ApplyDelta(from, any);
  if (applied && base::ContentHash(*applied) != any.result_hash) std::abort();
  return 0;
}
