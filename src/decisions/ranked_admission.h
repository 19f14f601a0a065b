// Decides which requests a gate admits to the backend server on its instance,
// and in which order. It never runs more requests than the server has slots,
// since some servers stop answering when they are full, and no more requests a
// second than the server takes, if it names a limit. The other requests are
// queued. Nested calls, which a backend server makes for a request that it
// runs, come first, since each of them occupies a slot elsewhere that would be
// wasted. Then come requests that can still meet their objective, then those
// of more urgent routes, then those that arrived first. A request that cannot
// be served in time is refused at once, with an estimate of when a slot will be
// free: under overload every slot then runs a request that is still on time.
// One that is late already is refused while others that can be on time are
// waiting: as long as they keep coming it would wait until its deadline in
// vain.
//
// A lasting overload fills the queue up to the longest wait that is accepted,
// so that all requests wait that long. If that wait left just the typical time
// at the server, every request that takes longer would end late. Most of the
// spread of that time is therefore kept free, which costs no throughput: a
// short queue keeps the slots as busy as a long one.
#ifndef FIREFLYSPAR_DECISIONS_RANKED_ADMISSION_H_
#define FIREFLYSPAR_DECISIONS_RANKED_ADMISSION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "base/error.h"
#include "base/hooks.h"
#include "decisions/request_rate.h"

namespace fireflyspar::decisions {

struct admission_request {
  std::uint64_t ticket = 0;
  bool is_nested_call = false;        // A nested call of a backend server.
  int priority = 0;                   // 0 is the most urgent.
  base::duration typical_duration{};  // Expected time at the server.
  // How much longer than that most requests take at most.
  base::duration duration_margin{};
  // The longest wait for which this gate is still better than another one.
  base::duration wait_limit = base::duration::max();
  base::steady_instant objective;  // An answer after this time is late.
  base::steady_instant deadline;   // The caller waits no longer than this.
  // Whether the deadline was moved forward while the request was queued.
  bool is_shortened = false;
  // Set when the request is queued.
  base::steady_instant entered;
  base::duration expected_wait{};
  bool is_late = false;  // Too late for the objective even without a wait.
};

enum class admission_choice { kRun, kWait, kRefuse };

struct admission_result {
  admission_choice choice = admission_choice::kRefuse;
  base::error_kind reason = base::error_kind::kShed;  // Only for kRefuse.
  base::duration wait{};  // Expected time until a slot is free for the request.
};

// The decision on a queued request: it runs now, or is refused.
struct queued_result {
  std::uint64_t ticket = 0;
  admission_result result;
};

class ranked_admission {
 public:
  // Starts to admit requests, up to `slots` at once, until Close is called.
  // Nothing is admitted before.
  void Open(int slots);

  // Stops admitting requests. Those in the queue are refused with `reason` at
  // the next ProcessQueue.
  void Close(base::error_kind reason) { closed_ = reason; }

  bool IsOpen() const { return !closed_; }

  // Sets the requests a second that the server takes; nullopt: no limit.
  void SetLimit(std::optional<double> per_second, base::steady_instant now) {
    rate_.SetLimit(per_second, now);
  }

  // Returns how long the first request in the queue waits for its turn under
  // the limit; nothing if it waits for something else.
  std::optional<base::duration> WaitForTurn(base::steady_instant now) const;

  // Returns what Enter would do with the request, without doing it.
  admission_result Evaluate(const admission_request& request,
                            base::steady_instant now) const;

  // Admits, queues or refuses a new request.
  admission_result Enter(const admission_request& request,
                         base::steady_instant now);

  // Records the end of a request that ran, `took` after it was admitted.
  void Leave(base::duration took);

  // Removes a queued request whose caller went away. Returns false if no such
  // request was queued.
  bool Abandon(std::uint64_t ticket);

  // Moves the deadline of a queued request forward. From now on ProcessQueue
  // refuses it as soon as it is not expected to have a turn in time. Does
  // nothing if no such request is queued, or its deadline is earlier.
  void Shorten(std::uint64_t ticket, base::steady_instant deadline);

  // Takes from the queue the requests that run now and those that are refused
  // now, and returns both.
  std::vector<queued_result> ProcessQueue(base::steady_instant now);

  int Running() const { return running_; }
  int Waiting() const { return static_cast<int>(queue_.size()); }
  int Slots() const { return slots_; }

 private:
  // Sort key of the queue: a smaller value is more urgent.
  using urgency = std::tuple<bool, bool, int>;

  static urgency UrgencyOf(const admission_request& request) {
    return {!request.is_nested_call, request.is_late, request.priority};
  }

  struct by_urgency {
    bool operator()(const admission_request& left,
                    const admission_request& right) const {
      return Key(left) < Key(right);
    }
    static std::pair<urgency, std::uint64_t> Key(
        const admission_request& request) {
      return {UrgencyOf(request), request.ticket};
    }
  };

  // Returns the request with the fields that are set when it is queued.
  admission_request ToQueued(const admission_request& request,
                             base::steady_instant now) const;
  // Returns whether a request that can be on time is waiting.
  bool HasTimelyWaiting() const;
  base::duration ExpectedWait(const admission_request& request,
                              base::steady_instant now) const;
  // Returns how much longer a queued request is expected to wait.
  base::duration RemainingWait(const admission_request& waiting,
                               base::steady_instant now) const;
  // Returns whether a queued request is not expected to end in time.
  bool HasNoTurn(const admission_request& waiting,
                 base::steady_instant now) const {
    return now + RemainingWait(waiting, now) + waiting.typical_duration >
           waiting.deadline;
  }
  bool CanStart(base::steady_instant now) const {
    return running_ < slots_ && rate_.HasTurn(now);
  }
  void Start(base::steady_instant now) {
    ++running_;
    rate_.Take(now);
  }
  void UpdateWaitInflation(const admission_request& request,
                           base::steady_instant now);

  std::optional<base::error_kind> closed_ = base::error_kind::kNoServer;
  int slots_ = 0;
  int running_ = 0;
  request_rate rate_;
  base::duration typical_duration_{};  // Smoothed time at the server.
  std::set<admission_request, by_urgency> queue_;

  // The factor by which requests wait longer than the queue ahead of them
  // suggests. It exceeds 1 since more urgent requests that come later overtake
  // them.
  struct wait_inflation {
    double factor = 1;
    base::steady_instant learnt_at;
  };

  // Returns the factor for an urgency. It is forgotten over time: while it is
  // so large that no request is queued, no wait can show that it has become
  // smaller.
  double WaitInflation(const urgency& of, base::steady_instant now) const;

  std::map<urgency, wait_inflation> wait_inflation_;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_RANKED_ADMISSION_H_
