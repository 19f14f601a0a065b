// Sends requests to other nodes over pooled connections. Every request has a
// timeout, and a request that fails closes its connection, so that a hung or
// half-open peer delays only the requests made to it. Results are passed to a
// callback; an empty result (false for a probe) means that the request failed,
// whatever the cause.
#ifndef FIREFLYSPAR_NODES_PEER_CLIENT_H_
#define FIREFLYSPAR_NODES_PEER_CLIENT_H_

#include <kj/async-io.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/address.h"
#include "nodes/traffic_counters.h"
#include "nodes/wire.h"

namespace fireflyspar::nodes {

struct peer_client_options {
  std::size_t max_connections = 32;
  kj::Duration idle_timeout = 60 * kj::SECONDS;
  kj::Duration request_timeout = 1 * kj::SECONDS;

  // Longer than request_timeout, since the helper makes a request of its own to
  // the probed node before it answers.
  kj::Duration indirect_probe_timeout = 2 * kj::SECONDS;

  // Longer than request_timeout, since a full configuration is large.
  kj::Duration fetch_timeout = 5 * kj::SECONDS;

  // Returns whether requests to the address are allowed. If empty, all are.
  std::function<bool(const base::address& peer)> may_connect;
};

class peer_client final : private kj::TaskSet::ErrorHandler {
 public:
  peer_client(peer_client_options options, kj::Network& network,
              kj::Timer& timer, traffic_counters& counters);
  ~peer_client() noexcept(false);

  // Sets this node's own address, which is sent with each request. Must be
  // called before the first request.
  void SetSender(const base::address& sender);

  void Exchange(const base::address& peer, const decisions::gossip& message,
                std::function<void(std::optional<decisions::gossip>)> done);

  // Asks `helper` to probe `target` and passes to `done` whether `target`
  // answered.
  void Probe(const base::address& helper, const base::address& target,
             std::function<void(bool reached)> done);

  void Fetch(const base::address& peer, const std::string& have_hash,
             std::function<void(std::optional<fetch_answer>)> done);

  void Report(const base::address& peer,
              const decisions::evidence_report& report);

  // Closes connections that have been unused for longer than idle_timeout.
  void CloseIdle();

 private:
  class connection;

  std::shared_ptr<connection> Connect(const base::address& peer);
  void Drop(const base::address& peer,
            const std::shared_ptr<connection>& failed);
  void EvictOldest();
  void taskFailed(kj::Exception&& failure) override;

  // Runs `call` on the connection to the peer, opening one if needed, and
  // passes its result to `done`, or nothing if it failed or timed out.
  template <typename Result, typename Call, typename Done>
  void Run(const base::address& peer, kj::Duration timeout, Call call,
           Done done);

  peer_client_options options_;
  kj::Network& network_;
  kj::Timer& timer_;
  traffic_counters& counters_;
  std::string sender_;
  std::map<base::address, std::shared_ptr<connection>> pool_;
  kj::TaskSet tasks_;
};

}  // namespace fireflyspar::nodes

#endif  // FIREFLYSPAR_NODES_PEER_CLIENT_H_
