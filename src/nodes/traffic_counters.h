// Counters of control traffic between nodes: payload bytes and messages by kind
// and direction, and all bytes on the wire, including the RPC library's
// framing.
#ifndef FIREFLYSPAR_NODES_TRAFFIC_COUNTERS_H_
#define FIREFLYSPAR_NODES_TRAFFIC_COUNTERS_H_

#include <cstdint>
#include <string_view>

#include "base/metrics.h"
#include "nodes/counted_stream.h"

namespace fireflyspar::nodes {

enum class direction { kSent, kReceived };

class traffic_counters {
 public:
  explicit traffic_counters(base::metrics& metrics) : metrics_(metrics) {}

  // Counts one message and its size, given in eight-byte words.
  void Count(std::string_view kind, direction way, std::uint64_t words);

  // Counts an event that closed or refused a connection or request.
  void CountFault(std::string_view reason);

  // Returns the counters of all bytes on the wire.
  wire_counters Wire();

 private:
  base::metrics& metrics_;
};

}  // namespace fireflyspar::nodes

#endif  // FIREFLYSPAR_NODES_TRAFFIC_COUNTERS_H_
