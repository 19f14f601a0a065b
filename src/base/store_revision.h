// The position of a change in the platform's store. The store may be restored
// from a copy some seconds old: the changes since then are lost, and their
// numbers are given out again. A number alone can therefore stand for two
// different changes; the era, which increases with each restore, tells them
// apart.
#ifndef FIREFLYSPAR_BASE_STORE_REVISION_H_
#define FIREFLYSPAR_BASE_STORE_REVISION_H_

#include <compare>
#include <cstdint>
#include <string>

namespace fireflyspar::base {

struct store_revision {
  std::uint64_t number = 0;  // 0: no change.
  std::uint64_t era = 0;

  bool IsNone() const { return number == 0; }

  // Orders by the era first: the first change of an era is later than all of
  // the eras before.
  std::strong_ordering operator<=>(const store_revision& other) const {
    if (const auto by_era = era <=> other.era; by_era != 0) return by_era;
    return number <=> other.number;
  }
  bool operator==(const store_revision&) const = default;

  std::string ToText() const {
    return std::to_string(era) + ":" + std::to_string(number);
  }
};

}  // namespace fireflyspar::base

#endif  // FIREFLYSPAR_BASE_STORE_REVISION_H_
