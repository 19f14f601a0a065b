// Decides which processes read the platform's store themselves. Each call to
// the store has a price, and its rates grow more slowly than the fleet, so in
// each data centre only a few processes wait for each change. The others learn
// of it from the answers of their peers, and read the store only cheaply and
// late, as a safety net.
//
// The readers are chosen by rendezvous hashing, so that processes that know the
// same peers choose the same readers without messages. If their views differ,
// there is a reader more or less. A process that knows few peers reads for
// itself, and so does every process of a small fleet.
#ifndef FIREFLYSPAR_DECISIONS_STORE_READERS_H_
#define FIREFLYSPAR_DECISIONS_STORE_READERS_H_

#include <cstddef>
#include <span>
#include <string>

namespace fireflyspar::decisions {

struct store_readers_options {
  // Several, so that a change arrives although some of them have just failed.
  std::size_t readers_per_data_centre = 4;
};

// Returns whether `instance` reads the store itself. `peers` are the reachable
// instances of its data centre; whether it is one of them does not matter.
bool IsStoreReader(const std::string& instance,
                   std::span<const std::string> peers,
                   const store_readers_options& options = {});

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_STORE_READERS_H_
