// Chooses the backend server for a call among the usable ones. Two servers are
// drawn at random and the one with the lower load score is taken. The score
// comes from what this node measured itself (calls in flight, latency,
// failures) and from the load that the gates report with their answers. A
// server's own health report is not used, since it lags and misleads. A server
// that keeps failing is ejected for a while, unless too few would remain.
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
  int failures_to_eject = 5;  // Consecutive failures.
  base::duration first_ejection = std::chrono::seconds(2);
  base::duration longest_ejection = std::chrono::seconds(30);
  // Ejections are ignored if less than this share of the candidates would
  // remain.
  double min_remaining_share = 0.5;
  // How long a gate's report of its load is used.
  base::duration gate_load_ttl = std::chrono::milliseconds(500);
  // How long the state of an unused server is kept.
  base::duration unused_server_ttl = std::chrono::minutes(5);
};

// A server that a call may go to.
struct server_candidate {
  std::string_view id;  // Id of the node on the server's instance.
  bool is_near = true;  // Whether it is in this node's data centre.
  int slots = 1;
};

// The result of a call to a server, as this node observed it.
enum class call_ending { kGood, kFailed, kShed, kCancelled };

class balancer {
 public:
  explicit balancer(balancer_options options = {});

  // Returns the index of the chosen candidate, or nothing if there are no
  // candidates. Those in `avoided` are chosen only if there is no other.
  std::optional<std::size_t> Choose(
      std::span<const server_candidate> candidates,
      std::span<const std::string> avoided, const base::random_hook& random,
      base::instant now);

  // Records that a call was sent to the server.
  void OnDispatch(std::string_view id, base::instant now);
  // Records the end of a call, and ejects the server after too many failures.
  void OnEnd(std::string_view id, call_ending ending, base::duration latency,
             base::instant now);

  // Records the load that a gate reported with an answer: `busy` is the number
  // of requests that run or are queued there.
  void OnGateLoad(std::string_view id, int busy, base::instant now);

  // Deletes the state of servers that have not been used for long.
  void Prune(base::instant now);

 private:
  struct server {
    int in_flight = 0;
    int failures_in_row = 0;
    int ejections_in_row = 0;
    double latency = 0;  // Smoothed, in microseconds.
    int gate_load = 0;
    base::instant gate_reported_at;
    base::instant ejected_until;
    base::instant shed_until;
    base::instant last_used;
  };

  double LoadScore(const server_candidate& candidate, bool weighs_latency,
                   base::instant now) const;
  bool IsLess(const server_candidate& left, const server_candidate& right,
              base::instant now) const;
  server& GetOrAdd(std::string_view id);
  const server* Find(std::string_view id) const;
  void Eject(server& failing, base::instant now) const;

  balancer_options options_;
  std::map<std::string, server, std::less<>> servers_;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_BALANCER_H_
