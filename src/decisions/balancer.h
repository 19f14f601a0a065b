// Which of the usable backend servers gets a call. Two are drawn at random and
// the less burdened one is taken; the burden is what this node saw itself
// (calls in flight, latency, failures) and what the gates told with their
// answers. A server's own health report plays no part, since it lags and
// misleads. A server that keeps failing is left out for a while, but never so
// many that too few remain.
#ifndef FIREFLYSPAR_DECISIONS_BALANCER_H_
#define FIREFLYSPAR_DECISIONS_BALANCER_H_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "base/hooks.h"

namespace fireflyspar::decisions {

struct balancer_options {
  int failures_to_eject = 5;  // In a row.
  base::duration first_ejection = std::chrono::seconds(2);
  base::duration longest_ejection = std::chrono::seconds(30);
  double least_kept = 0.5;  // Share of the candidates that always stay.
  base::duration gate_word_life = std::chrono::milliseconds(500);
  base::duration memory = std::chrono::minutes(5);  // Of an unused server.
};

// One server that a call may go to.
struct candidate {
  std::string_view id;  // The node beside it.
  bool is_near = true;  // In this node's data centre.
  int slots = 1;
};

// How a call to a server ended, as this node saw it.
enum class call_ending { kGood, kFailed, kShed, kCancelled };

class balancer {
 public:
  explicit balancer(balancer_options options = {});

  // The index of the chosen candidate, passing over `avoided` where another is
  // left; nothing when there are no candidates.
  std::optional<std::size_t> Choose(std::span<const candidate> candidates,
                                    std::span<const std::string> avoided,
                                    const base::random_hook& random,
                                    base::instant now);

  void OnDispatch(std::string_view id, base::instant now);
  void OnEnd(std::string_view id, call_ending ending, base::duration latency,
             base::instant now);

  // What the gate told with an answer: requests running and waiting there.
  void OnGateLoad(std::string_view id, int busy, base::instant now);

  // Forgets servers that have not been used for long.
  void Prune(base::instant now);

 private:
  struct server {
    int in_flight = 0;
    int failures_in_row = 0;
    int ejections_in_row = 0;
    double latency = 0;  // Smoothed, in microseconds.
    int gate_busy = 0;
    base::instant gate_told;
    base::instant ejected_until;
    base::instant shed_until;
    base::instant last_used;
  };

  double Burden(const candidate& which, bool weighs_latency,
                base::instant now) const;
  bool IsLess(const candidate& left, const candidate& right,
              base::instant now) const;
  server& At(std::string_view id);
  const server* Find(std::string_view id) const;
  void Eject(server& failing, base::instant now) const;

  balancer_options options_;
  std::map<std::string, server, std::less<>> servers_;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_BALANCER_H_
