#include "base/utf8.h"

#include <algorithm>
#include <boost/locale/utf.hpp>

namespace fireflyspar::base {
namespace {

namespace utf = boost::locale::utf;

bool IsAscii(char c) { return static_cast<signed char>(c) >= 0; }

}  // namespace

bool IsUtf8(std::string_view text) {
  auto at = std::ranges::find_if_not(text, IsAscii);
  while (at != text.end()) {
    const auto code_point = utf::utf_traits<char>::decode(at, text.end());
    if (!utf::is_valid_codepoint(code_point)) return false;
  }
  return true;
}

}  // namespace fireflyspar::base
