// Answers other nodes' requests. A connection is closed when it delivers bytes
// that are not a valid message or a message over the size limit, or when it
// stays idle. Each such closure is counted, and no other connection is
// affected.
#ifndef FIREFLYSPAR_NODES_PEER_SERVER_H_
#define FIREFLYSPAR_NODES_PEER_SERVER_H_

#include <kj/async-io.h>

#include <cstddef>
#include <functional>
#include <string>

#include "base/address.h"
#include "base/result.h"
#include "nodes/traffic_counters.h"
#include "nodes/wire.h"

namespace fireflyspar::nodes {

// Maximum size of a message that is read: 4 MB, in words of eight bytes. A full
// sync of about 8,000 members, or a full configuration, fits into it.
inline constexpr std::uint64_t kMaxMessageWords = 524'288;

struct peer_server_options {
  std::size_t max_connections = 512;
  kj::Duration idle_timeout = 120 * kj::SECONDS;

  // Returns whether requests from the address are answered. If empty, all are.
  std::function<bool(const base::address& sender)> may_connect;

  // Handlers of the requests of the Peer interface (peer.capnp).
  std::function<decisions::gossip(const decisions::gossip&)> answer;
  std::function<kj::Promise<bool>(const base::address& target)> probe;
  std::function<fetch_answer(const std::string& have_hash)> fetch;
  std::function<void(const decisions::evidence_report&)> report;
};

class peer_server final : private kj::TaskSet::ErrorHandler {
 public:
  peer_server(peer_server_options options, kj::Timer& timer,
              traffic_counters& counters);

  // Accepts connections until this object is destroyed.
  void Serve(kj::Own<kj::ConnectionReceiver> listener);

 private:
  class connection;
  class service;

  kj::Promise<void> AcceptLoop();
  void Accept(kj::Own<kj::AsyncIoStream> stream);
  void taskFailed(kj::Exception&& failure) override;

  peer_server_options options_;
  kj::Timer& timer_;
  traffic_counters& counters_;
  std::size_t connections_ = 0;
  kj::Own<kj::ConnectionReceiver> listener_;
  kj::TaskSet tasks_;
};

}  // namespace fireflyspar::nodes

#endif  // FIREFLYSPAR_NODES_PEER_SERVER_H_
