// Comparisons that the RPC library's own headers need before they are included
// by clang: as C++20 reads since P2468, a member operator!= hides the reversed
// operator== that those headers count on. g++ 12 is not affected.
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
