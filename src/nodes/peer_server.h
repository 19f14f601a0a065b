// Answers other nodes' requests. Bytes that are not a valid request, messages
// over the size limit and connections that stay idle close that connection,
// with a counter, and touch nothing else.
#ifndef FIREFLYSPAR_NODES_PEER_SERVER_H_
#define FIREFLYSPAR_NODES_PEER_SERVER_H_

#include <kj/async-io.h>

#include <cstddef>
#include <functional>
#include <string>

#include "base/address.h"
#include "base/result.h"
#include "nodes/traffic.h"
#include "nodes/wire.h"

namespace fireflyspar::nodes {

// The largest message that is read: 4 MB, in words of eight bytes. A full sync
// of some 8,000 members, or a configuration, fits in.
inline constexpr std::uint64_t kMaxMessageWords = 524'288;

struct peer_server_options {
  std::size_t max_connections = 512;
  kj::Duration idle_timeout = 120 * kj::SECONDS;

  // Whether requests from that address are answered; empty: always.
  std::function<bool(const base::address& sender)> may_connect;

  std::function<decisions::gossip(const decisions::gossip&)> answer;
  std::function<kj::Promise<bool>(const base::address& target)> probe;
  std::function<fetch_answer(const std::string& have_hash)> fetch;
  std::function<void(const decisions::evidence_report&)> report;
};

class peer_server final : private kj::TaskSet::ErrorHandler {
 public:
  peer_server(peer_server_options options, kj::Timer& timer, traffic& counted);

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
  traffic& traffic_;
  std::size_t connections_ = 0;
  kj::Own<kj::ConnectionReceiver> listener_;
  kj::TaskSet tasks_;
};

}  // namespace fireflyspar::nodes

#endif  // FIREFLYSPAR_NODES_PEER_SERVER_H_
