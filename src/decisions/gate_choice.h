// Chooses the gate for a request. The expected time to the answer is estimated
// for each gate from the load that it last reported, the requests sent to it
// since then, and how fast and how reliable its server has been; the gate with
// the lowest estimate is chosen. Gates in other data centres cost extra, since
// traffic between data centres costs money and latency.
//
// Only a few gates, drawn at random for each request, are compared. The lowest
// estimate of all gates would always belong to the same few that were once
// found to be fast: a proxy would never learn about the others, and its
// requests would queue at these few while others are idle. A small random
// jitter on the estimates keeps proxies that hold the same stale report from
// all choosing the same gate.
#ifndef FIREFLYSPAR_DECISIONS_GATE_CHOICE_H_
#define FIREFLYSPAR_DECISIONS_GATE_CHOICE_H_

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "base/hooks.h"

namespace fireflyspar::decisions {

// The load that a gate reports with each answer.
struct gate_report {
  int running = 0;
  int waiting = 0;
  int slots = 1;
  double latency_ratio = 1;  // Time at its server, relative to typical.
  double failure_rate = 0;   // Failed share of its latest answers, 0 to 1.
  // Rate at which request bodies cross the gate's link, and the bytes of those
  // that are waiting or under way. Zero rate: unknown.
  double bytes_per_second = 0;
  std::uint64_t body_backlog = 0;
  // Requests a second that its server takes. Zero: no limit is named.
  double requests_per_second = 0;
  // The same for a server that is cold.
  double cold_limit = 0;
};

struct gate_choice_options {
  // Extra cost of a gate in another data centre, in typical times.
  double distance_cost = 0.5;
  // Extra cost of a server whose answers all fail, in typical times; less in
  // proportion when only some of them fail.
  double failure_cost = 8;
  // Maximum random increase of each estimate, as a fraction of it.
  double jitter = 0.1;
  // Number of gates compared in this data centre and in others. If this data
  // centre has too few, more are drawn from the others.
  int compared_near = 4;
  int compared_far = 2;
};

// The request to choose a gate for.
struct choice_request {
  base::duration typical_duration{};  // Expected time at a server.
  // Size of a body that has to cross the gate's link; small bodies count as 0.
  std::uint64_t body_bytes = 0;
};

struct gate_candidate {
  std::string_view instance;
  bool is_near = true;  // Whether it is in this proxy's data centre.
  int slots = 1;
};

struct chosen_gate {
  std::size_t index = 0;
  bool is_expected_free = true;  // Whether a slot is expected to be free.
  // The same for any of the gates that were compared.
  bool is_any_expected_free = true;
};

class gate_choice {
 public:
  explicit gate_choice(gate_choice_options options = {}) : options_(options) {}

  // Returns the gate to send to, or nothing if there are no candidates.
  std::optional<chosen_gate> Choose(std::span<const gate_candidate> candidates,
                                    const choice_request& request,
                                    const base::random_hook& random,
                                    base::steady_instant now) const;

  // Records that a request was sent to the gate, with a body of this size.
  void OnSend(std::string_view instance, std::uint64_t body_bytes = 0);

  // Records the end of a request that was sent to the gate.
  void OnEnd(std::string_view instance);

  // Records a report of the gate, which also shows that it is reachable.
  void OnReport(std::string_view instance, const gate_report& report,
                base::steady_instant now);

  // Records that the gate refused a request as closed, without a report. It is
  // passed over for the time `avoid`.
  void OnClosed(std::string_view instance, base::duration avoid,
                base::steady_instant now);

  // Records that the gate could not be reached. It is passed over until
  // OnReachable, OnReport or Forget is called for it.
  void OnUnreachable(std::string_view instance);

  // Records that the gate could be reached.
  void OnReachable(std::string_view instance);

  // Deletes the state of a gate, for example when another server has taken the
  // place of the one behind it.
  void Forget(std::string_view instance);

 private:
  struct gate_state {
    gate_report report;
    base::steady_instant reported_at;
    int sent_since_report = 0;  // Requests sent since the report.
    std::uint64_t bytes_sent_since_report = 0;
    int in_flight = 0;  // Requests of this proxy.
    bool is_unreachable = false;
    base::steady_instant closed_until;
  };

  struct estimate {
    double cost = 0;
    bool is_free = true;
  };

  // The state of one search: the best of the gates compared so far.
  struct comparison {
    std::span<const gate_candidate> candidates;
    choice_request request;
    base::steady_instant now;
    std::optional<chosen_gate> best;
    double lowest_cost = 0;  // Cost of `best`.
    int compared = 0;        // Without gates that are passed over.
    bool is_any_free = false;
  };

  estimate Estimate(const gate_candidate& candidate, const gate_state* known,
                    const choice_request& request,
                    base::steady_instant now) const;

  // Compares gates drawn at random from `drawn_from` until the search has
  // compared `max_compared` gates in total.
  void Compare(comparison& search, std::span<std::size_t> drawn_from,
               int max_compared, const base::random_hook& random) const;
  void CompareOne(comparison& search, std::size_t index,
                  const base::random_hook& random) const;

  gate_choice_options options_;
  std::map<std::string, gate_state, std::less<>> gates_;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_GATE_CHOICE_H_
