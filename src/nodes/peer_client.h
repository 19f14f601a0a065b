// Sends requests to other nodes over kept connections. Every request has a
// timeout; one that fails closes its connection, so that a hung or half-open
// peer holds up nothing but the requests made to it. Results come by callback;
// an empty one stands for any failure.
#ifndef FIREFLYSPAR_NODES_PEER_CLIENT_H_
#define FIREFLYSPAR_NODES_PEER_CLIENT_H_

#include <kj/async-io.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/address.h"
#include "nodes/traffic.h"
#include "nodes/wire.h"

namespace fireflyspar::nodes {

struct peer_client_options {
  std::size_t max_connections = 32;
  kj::Duration idle_timeout = 60 * kj::SECONDS;
  kj::Duration request_timeout = 1 * kj::SECONDS;

  // Longer, since another node makes a request of its own meanwhile.
  kj::Duration indirect_probe_timeout = 2 * kj::SECONDS;

  // Longer, since whole configurations are large.
  kj::Duration fetch_timeout = 5 * kj::SECONDS;

  // Whether requests to that address are made; empty: always.
  std::function<bool(const base::address& peer)> may_connect;
};

class peer_client final : private kj::TaskSet::ErrorHandler {
 public:
  peer_client(peer_client_options options, kj::Network& network,
              kj::Timer& timer, traffic& counted);
  ~peer_client() noexcept(false);

  // The own address, told with each request; to be set before the first.
  void SetSender(const base::address& sender);

  void Exchange(const base::address& peer, const decisions::gossip& message,
                std::function<void(std::optional<decisions::gossip>)> done);

  // Asks `helper` to probe `target`; `done` is told whether it was reached.
  void Probe(const base::address& helper, const base::address& target,
             std::function<void(bool reached)> done);

  void Fetch(const base::address& peer, const std::string& have_hash,
             std::function<void(std::optional<fetch_answer>)> done);

  void Report(const base::address& peer,
              const decisions::evidence_report& report);

  // Closes connections that were not used for long.
  void CloseIdle();

 private:
  class link;

  std::shared_ptr<link> Connect(const base::address& peer);
  void Drop(const base::address& peer, const std::shared_ptr<link>& failed);
  void EvictOldest();
  void taskFailed(kj::Exception&& failure) override;

  // Runs `call` on the connection to the peer and its outcome into `done`.
  template <typename Result, typename Call, typename Done>
  void Run(const base::address& peer, kj::Duration timeout, Call call,
           Done done);

  peer_client_options options_;
  kj::Network& network_;
  kj::Timer& timer_;
  traffic& traffic_;
  std::string sender_;
  std::map<base::address, std::shared_ptr<link>> links_;
  kj::TaskSet tasks_;
};

}  // namespace fireflyspar::nodes

#endif  // FIREFLYSPAR_NODES_PEER_CLIENT_H_
