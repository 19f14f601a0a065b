// The record of one instance that all nodes replicate: its node, and the
// backend server beside it. The node owns the record and is the only one to
// raise its sequence. A merge of two copies keeps the later one, so delayed,
// duplicated and reordered copies do no harm.
#ifndef FIREFLYSPAR_DECISIONS_MEMBER_H_
#define FIREFLYSPAR_DECISIONS_MEMBER_H_

#include <cstdint>
#include <string>

#include "base/address.h"

namespace fireflyspar::decisions {

enum class server_state {
  kAbsent,    // No backend server has announced itself here.
  kStarting,  // Announced and cold: gets a growing share of calls.
  kServing,
  kDraining,  // Leaving: finishes running requests, accepts no new ones.
};

// Ordered: at equal incarnation and sequence the greater state wins.
enum class node_state { kAlive, kSuspect, kDead, kLeft };

struct server_record {
  std::string service;
  std::string version;
  int slots = 0;  // Maximum number of concurrent requests.
  server_state state = server_state::kAbsent;

  bool operator==(const server_record&) const = default;
};

struct member_record {
  std::string node_id;
  std::string data_centre;
  std::string region;
  std::uint64_t incarnation = 0;  // Increases at each start of the node.
  std::uint64_t sequence = 0;     // Increases with each change since the start.
  node_state state = node_state::kAlive;
  base::address rpc_address;   // For Cap'n Proto RPC between nodes.
  base::address gate_address;  // For calls to the backend server.
  server_record server;

  bool operator==(const member_record&) const = default;
};

// Returns whether `candidate` replaces `current` in a merge.
bool Supersedes(const member_record& candidate, const member_record& current);

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_MEMBER_H_
