// Which gate gets a request next. The expected time to the answer is estimated
// for each from what the gate last reported of its load, what was sent to it
// since, and how fast and how reliable its server has been; the least wins.
// Other data centres cost some extra, since their bytes and their latency do.
//
// Only a few gates, drawn anew for each request, are compared. The least of
// many would always be the same few that were found to be fast once: a router
// would never learn of the others, and its requests would queue at these while
// others stand idle. Estimates are also a little blurred, so that proxies with
// the same stale report don't all choose the same gate.
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

// What a gate tells of itself with each answer.
struct gate_report {
  int running = 0;
  int waiting = 0;
  int slots = 1;
  double pace = 1;           // Time at its server, relative to the typical.
  double failing_share = 0;  // Of its latest answers, in [0, 1].
};

struct gate_choice_options {
  // Extra cost of another data centre, as a part of the typical time.
  double distance_cost = 0.5;
  // Extra cost of a server all of whose answers fail, in typical times.
  double failure_cost = 8;
  // Random part of each estimate.
  double blur = 0.1;
  // Gates that are compared: of the own data centre and of others. What is
  // missing of the first is drawn from the second.
  int compared_near = 4;
  int compared_far = 2;
};

struct gate_candidate {
  std::string_view instance;
  bool is_near = true;  // In this proxy's data centre.
  int slots = 1;
};

struct chosen_gate {
  std::size_t index = 0;
  bool is_expected_free = true;  // A slot seems to be free.
};

class gate_choice {
 public:
  explicit gate_choice(gate_choice_options options = {}) : options_(options) {}

  // Nothing when there is no candidate.
  std::optional<chosen_gate> Choose(std::span<const gate_candidate> candidates,
                                    base::duration typical,
                                    const base::random_hook& random,
                                    base::steady_instant now) const;

  void OnSend(std::string_view instance);
  void OnEnd(std::string_view instance);
  void OnReport(std::string_view instance, const gate_report& report,
                base::steady_instant now);

  // The gate refused without saying more than that it is closed.
  void OnClosed(std::string_view instance, base::duration avoid,
                base::steady_instant now);

  // A gate that could not be reached is passed over until it was, or until it
  // is forgotten.
  void OnUnreachable(std::string_view instance);
  void OnReachable(std::string_view instance);

  // Forgets all of a gate, as when another server stands behind it.
  void Forget(std::string_view instance);

 private:
  struct gate_state {
    gate_report report;
    base::steady_instant reported;
    int sent_since = 0;  // Since the report.
    int in_flight = 0;   // From this proxy.
    bool is_unreachable = false;
    base::steady_instant closed_until;
  };

  struct estimate {
    double cost = 0;
    bool is_free = true;
  };

  // The best of the gates that were compared so far.
  struct comparison {
    std::span<const gate_candidate> candidates;
    base::duration typical{};
    base::steady_instant now;
    std::optional<chosen_gate> best;
    double least = 0;
    int compared = 0;  // Without those that are passed over.
  };

  estimate Estimate(const gate_candidate& candidate, const gate_state* known,
                    base::duration typical, base::steady_instant now) const;

  // Compares gates drawn from `drawn_from` until `most` in all were.
  void Compare(comparison& so_far, std::span<std::size_t> drawn_from, int most,
               const base::random_hook& random) const;
  void CompareOne(comparison& so_far, std::size_t index,
                  const base::random_hook& random) const;

  gate_choice_options options_;
  std::map<std::string, gate_state, std::less<>> gates_;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_GATE_CHOICE_H_
