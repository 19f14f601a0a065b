// Fuzzes the parser of answers: what it takes must be read as the same answer
// by a strict reader when it is written again. The first byte tells in which
// pieces the others come, and in which circumstances.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string_view>

#include "tests/backend_servers/parsed_answer.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  if (size == 0) return 0;
  constexpr unsigned kHeadRequest = 0x40;
  constexpr unsigned kEnds = 0x20;
  constexpr unsigned kPieceMask = 0x1f;
  const unsigned piece = data[0] & kPieceMask;
  const std::string_view bytes(reinterpret_cast<const char*>(data) + 1,
                               size - 1);
  const auto check = fireflyspar::backend_servers::CheckParsed(
      {.bytes = bytes,
       .piece = piece == 0 ? std::string_view::npos : piece,
       .is_head_request = (data[0] & kHeadRequest) != 0,
       .ends = (data[0] & kEnds) != 0});
  if (check.fault.empty()) return 0;
  std::cerr << check.fault << '\n';
  std::abort();
}
