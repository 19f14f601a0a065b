// Comparison operators that the RPC library's headers need under clang; include
// this file before them. Since P2468, C++20 no longer considers the reversed
// form of a member operator== when a matching operator!= exists, and those
// headers rely on it. g++ 12 does not implement that rule and is not affected.
#ifndef FIREFLYSPAR_NODES_KJ_STRING_EQUALITY_H_
#define FIREFLYSPAR_NODES_KJ_STRING_EQUALITY_H_

#include <kj/string.h>

#if defined(__clang__)
namespace kj {

inline bool operator==(const char* left, const StringPtr& right) {
  return right.operator==(left);
}
inline bool operator!=(const char* left, const StringPtr& right) {
  return !right.operator==(left);
}

}  // namespace kj
#endif

#endif  // FIREFLYSPAR_NODES_KJ_STRING_EQUALITY_H_
