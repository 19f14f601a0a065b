// Finds the organisation that a request's key belongs to. A look-up takes one
// hash, however many keys there are. A key that two organisations have belongs
// to neither, since nobody can tell whose request it is.
#ifndef FIREFLYSPAR_DECISIONS_ORGANISATION_INDEX_H_
#define FIREFLYSPAR_DECISIONS_ORGANISATION_INDEX_H_

#include <span>
#include <string_view>
#include <unordered_map>

#include "config/mesh_configuration.h"

namespace fireflyspar::decisions {

class organisation_index {
 public:
  organisation_index() = default;

  // The organisations must outlive the index.
  explicit organisation_index(
      std::span<const config::organisation> organisations);

  // Returns the organisation, or null if no one has the key.
  const config::organisation* Find(std::string_view key) const;

 private:
  // Null for a key that several organisations have.
  std::unordered_map<std::string_view, const config::organisation*> by_key_;
};

// Returns one rank for both priorities: that of the organisation goes first.
// Smaller is more urgent.
int CombinedPriority(int of_organisation, int of_route);

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_ORGANISATION_INDEX_H_
