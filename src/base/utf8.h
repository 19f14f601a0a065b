// Checks that text is valid UTF-8, which logs and JSON documents require.
#ifndef FIREFLYSPAR_BASE_UTF8_H_
#define FIREFLYSPAR_BASE_UTF8_H_

#include <string_view>

namespace fireflyspar::base {

bool IsUtf8(std::string_view text);

}  // namespace fireflyspar::base

#endif  // FIREFLYSPAR_BASE_UTF8_H_
