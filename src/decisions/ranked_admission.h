// What the gate lets through to the backend server beside it, and in which
// order. Never more requests run than the server has slots, since some servers
// stop answering when they are full. The rest wait here: first the calls of
// running servers, since each of them holds a slot elsewhere that would be
// wasted; then requests that can still be on time; then more urgent routes;
// then who came first. Who can't be served in time is refused at once, with an
// estimate of when to come back, instead of waiting in vain: under overload
// every slot then works for a request that is still on time.
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

namespace fireflyspar::decisions {

struct admission_claim {
  std::uint64_t ticket = 0;
  bool is_call = false;      // Made by a backend server for a request it runs.
  int rank = 0;              // 0 is the most urgent.
  base::duration typical{};  // Expected time at the server.
  // The longest wait that is worth it here rather than at another gate.
  base::duration wait_limit = base::duration::max();
  base::steady_instant objective;  // An answer after this is late.
  base::steady_instant deadline;   // Nobody waits for an answer after this.
  // Filled in when it begins to wait.
  base::steady_instant entered;
  base::duration expected_wait{};
  bool is_late = false;  // It could not be on time even then.
};

enum class admission_choice { kRun, kWait, kRefuse };

struct admission_result {
  admission_choice choice = admission_choice::kRefuse;
  base::error_kind reason = base::error_kind::kShed;  // For kRefuse.
  base::duration wait{};  // Expected until a slot is free for such a claim.
};

// The end of a claim's wait.
struct admission_end {
  std::uint64_t ticket = 0;
  admission_result result;
};

class ranked_admission {
 public:
  // Nothing is let in before this, nor after Close.
  void Open(int slots);

  // Lets nothing new in; those that wait are refused at the next Advance.
  void Close(base::error_kind reason) { closed_ = reason; }

  bool IsOpen() const { return !closed_; }

  admission_result Enter(const admission_claim& claim,
                         base::steady_instant now);

  // A claim that ran has ended, `took` after it was let in.
  void Leave(base::duration took);

  // A waiting claim's caller left. False when it was not waiting.
  bool Abandon(std::uint64_t ticket);

  // Whose wait ends now: those that run, and those that are refused.
  std::vector<admission_end> Advance(base::steady_instant now);

  int Running() const { return running_; }
  int Waiting() const { return static_cast<int>(queue_.size()); }
  int Slots() const { return slots_; }

 private:
  // Claims of the same urgency; more urgent ones come before them.
  using urgency = std::tuple<bool, bool, int>;

  static urgency UrgencyOf(const admission_claim& claim) {
    return {!claim.is_call, claim.is_late, claim.rank};
  }

  struct by_urgency {
    bool operator()(const admission_claim& left,
                    const admission_claim& right) const {
      return Key(left) < Key(right);
    }
    static std::pair<urgency, std::uint64_t> Key(const admission_claim& claim) {
      return {UrgencyOf(claim), claim.ticket};
    }
  };

  base::duration ExpectedWait(const admission_claim& claim) const;
  void LearnWait(const admission_claim& claim, base::steady_instant now);

  std::optional<base::error_kind> closed_ = base::error_kind::kNoServer;
  int slots_ = 0;
  int running_ = 0;
  base::duration typical_{};  // Smoothed time at the server.
  std::set<admission_claim, by_urgency> queue_;

  // How much longer claims of one urgency wait than the queue ahead of them
  // lets expect, because of more urgent ones that come later.
  std::map<urgency, double> stretch_;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_RANKED_ADMISSION_H_
