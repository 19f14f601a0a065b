// Simulates a small fleet of nodes, which consist of the decision classes
// alone, with an in-memory network and one clock. A list of numbers drives it
// step by step: messages are delayed, duplicated, dropped and reordered, nodes
// crash and return, and data centres are cut off from each other. After each
// step the invariants that must hold at any moment are checked.
#ifndef FIREFLYSPAR_TESTS_DECISIONS_GOSSIP_SIMULATION_H_
#define FIREFLYSPAR_TESTS_DECISIONS_GOSSIP_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/hooks.h"
#include "decisions/configuration_store.h"
#include "decisions/dissemination.h"
#include "decisions/membership.h"

namespace fireflyspar::decisions {

// The rules that a test can replace by faulty ones, to show that the checks
// notice it.
struct merge_rules {
  std::function<bool(const member_record&, const member_record&)> supersedes =
      Supersedes;
  std::function<bool(std::uint64_t, std::uint64_t)> replaces = std::greater<>();
};

class gossip_simulation {
 public:
  gossip_simulation(std::uint64_t seed, merge_rules rules);

  // Performs the step that the number encodes: `code % 16` chooses the kind of
  // step and `code / 16` its target.
  void Step(std::uint32_t code);

  // Ends all faults and runs the simulation for `time`.
  void Settle(base::duration time);

  // Delivers again a copy of the messages sent so far, up to a fixed number.
  void ReplayHistory();

  // Returns the first violated invariant, or "".
  const std::string& Violation() const { return violation_; }

  // Returns the first difference from the state that the nodes should have
  // converged to, or "".
  std::string NotConverged() const;

 private:
  struct running_node {
    std::string id;
    std::string data_centre;
    std::unique_ptr<membership> members;
    std::unique_ptr<configuration_store> configuration;
    std::unique_ptr<dissemination> disseminator;
    std::map<std::uint64_t, base::instant> probes;  // Deadline by number.
    bool is_fetching = false;
    base::instant fetch_ends;
    base::instant next_push;
    std::uint64_t greatest_seen = 0;
    std::map<std::string, member_record> seen;
  };

  struct message {
    std::string from;
    std::string to;
    bool is_answer = false;
    std::uint64_t probe = 0;
    std::optional<gossip> payload;
    std::optional<std::string> fetch;
    std::optional<configuration_message> fetched;
  };

  running_node* Running(const std::string& id);
  bool IsConnected(const std::string& from, const std::string& to) const;
  static std::string IdOf(const base::address& address);

  void Start(const std::string& id);
  void Tick(running_node& node);
  void SendProbes(running_node& node);
  void PushUpdates(running_node& node);
  void StartExchanges(running_node& node);
  void Send(message sent);
  void Deliver(const message& sent);
  void DeliverRequest(running_node& node, const message& sent);
  void DeliverAnswer(running_node& node, const message& sent);
  void FetchIfNewer(running_node& node, const gossip& payload);
  void DeliverAll();
  void Check(running_node& node);
  config::snapshot_ptr NextConfiguration();

  // Returns whether the node's data centre has a node that probes. Where it has
  // none, no node can tell a dead data centre from one that is cut off, and its
  // records keep the state last received.
  bool HasLiveProber(const std::string& id) const;

  merge_rules rules_;
  base::random_hook random_;
  base::instant now_{std::chrono::seconds(1'000'000)};
  std::vector<std::string> ids_;
  std::map<std::string, running_node> nodes_;  // Running nodes.
  std::set<std::string> left_;
  std::vector<message> in_flight_;
  std::vector<message> history_;
  bool is_partitioned_ = false;
  std::uint64_t last_version_ = 0;
  std::string violation_;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_TESTS_DECISIONS_GOSSIP_SIMULATION_H_
