// What the fleet knows of one instance: its node, and the backend server beside
// it. The node owns the record and is the only one to raise its sequence;
// merging two copies keeps the later one, so late, doubled and crossed copies
// do no harm.
#ifndef FIREFLYSPAR_DECISIONS_MEMBER_H_
#define FIREFLYSPAR_DECISIONS_MEMBER_H_

#include <cstdint>
#include <string>

#include "base/address.h"

namespace fireflyspar::decisions {

enum class server_state {
  kAbsent,    // No backend server has announced itself here.
  kStarting,  // Announced, cold: takes a growing share.
  kServing,
  kDraining,  // Leaving: finishes what runs, takes nothing new.
};

// Ordered: at the same (incarnation, sequence) the greater wins.
enum class node_state { kAlive, kSuspect, kDead, kLeft };

struct server_record {
  std::string service;
  std::string version;
  int slots = 0;  // Requests that the server runs at once.
  server_state state = server_state::kAbsent;

  bool operator==(const server_record&) const = default;
};

struct member_record {
  std::string node_id;
  std::string data_centre;
  std::string region;
  std::uint64_t incarnation = 0;  // Grows with each start of the node.
  std::uint64_t sequence = 0;     // Grows with each change within one run.
  node_state state = node_state::kAlive;
  base::address rpc_address;   // Node to node: Cap'n Proto RPC.
  base::address gate_address;  // Calls to the backend server beside the node.
  server_record server;

  bool operator==(const member_record&) const = default;
};

// True when `candidate` replaces `current` in a merge.
bool Supersedes(const member_record& candidate, const member_record& current);

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_MEMBER_H_
