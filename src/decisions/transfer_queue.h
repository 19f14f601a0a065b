// Decides which request bodies cross the link of an instance, and when. A large
// body takes longer on a slow link than a request takes at its server. If all
// bodies were sent at once, each would arrive late, and small messages would
// wait behind them. Bodies are therefore admitted one after the other, so that
// little more than `window` of the link's time is under way, in the order of
// priority and arrival. A body that can't arrive in time is refused before any
// byte of it has been sent, with an estimate of when the link will be free.
//
// The rate of the link is estimated from the bodies that have crossed it: other
// traffic shares the link, and the slower end of a connection sets its pace.
#ifndef FIREFLYSPAR_DECISIONS_TRANSFER_QUEUE_H_
#define FIREFLYSPAR_DECISIONS_TRANSFER_QUEUE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <vector>

#include "base/hooks.h"
#include "decisions/ranked_admission.h"

namespace fireflyspar::decisions {

struct transfer_queue_options {
  // Rate of the link before any body has crossed it, in bytes per second.
  double bytes_per_second = 125e6;
  // How much of the link's time the admitted bodies may take together. A single
  // body is always admitted.
  std::chrono::milliseconds window{100};
  // Limit on the bodies that are under way or held for requests that have not
  // ended, in bytes.
  std::uint64_t max_held_bytes = 32'000'000;
};

struct transfer_request {
  std::uint64_t ticket = 0;
  std::uint64_t bytes = 0;
  int priority = 0;  // 0 is the most urgent.
  // Time that the request takes from the arrival of its body to its answer.
  base::duration time_after{};
  // The longest wait for which this gate is still better than another one.
  base::duration wait_limit = base::duration::max();
  base::steady_instant objective;  // An answer after this time is late.
  base::steady_instant deadline;   // The caller waits no longer than this.
  // Whether the deadline was moved forward while the body was queued.
  bool is_shortened = false;
};

class transfer_queue {
 public:
  explicit transfer_queue(transfer_queue_options options = {})
      : options_(options), rate_(options.bytes_per_second) {}

  // Admits, queues or refuses a body. Its bytes are held until Release.
  admission_result Enter(const transfer_request& request,
                         base::steady_instant now);

  // Records that an admitted body has arrived, or was cut off.
  void Arrive(std::uint64_t ticket, bool is_whole, base::steady_instant now);

  // Records the end of the request of an admitted body.
  void Release(std::uint64_t bytes);

  // Removes a queued body whose caller went away. Returns false if no such body
  // was queued.
  bool Abandon(std::uint64_t ticket);

  // Moves the deadline of a queued body's request forward. From now on
  // ProcessQueue refuses it as soon as it is not expected to have a turn in
  // time. Does nothing if no such body is queued, or its deadline is earlier.
  void Shorten(std::uint64_t ticket, base::steady_instant deadline);

  // Takes from the queue the bodies that are admitted now and those that are
  // refused now, and returns both.
  std::vector<queued_result> ProcessQueue(base::steady_instant now);

  // Bytes that are queued or under way.
  std::uint64_t Backlog() const { return queued_bytes_ + moving_bytes_; }
  double BytesPerSecond() const { return rate_; }

 private:
  // Sort key of the queue: a smaller value is more urgent.
  struct queued_body {
    transfer_request request;
    bool is_late = false;
    std::tuple<bool, int, std::uint64_t> Key() const {
      return {is_late, request.priority, request.ticket};
    }
    bool operator<(const queued_body& other) const {
      return Key() < other.Key();
    }
  };

  // Returns whether a queued body is not expected to be used in time.
  bool IsTooLate(const queued_body& body, base::steady_instant now) const;
  base::duration TimeFor(std::uint64_t bytes) const;
  std::uint64_t BytesAhead(const queued_body& body) const;
  bool HasRoom(std::uint64_t bytes) const;
  void Admit(const transfer_request& request);
  void LearnRate(std::uint64_t arrived_bytes, base::steady_instant now);

  transfer_queue_options options_;
  double rate_;  // In bytes per second.
  std::set<queued_body> queue_;
  std::uint64_t queued_bytes_ = 0;
  std::map<std::uint64_t, std::uint64_t> moving_;  // Bytes by ticket.
  std::uint64_t moving_bytes_ = 0;
  std::uint64_t held_bytes_ = 0;
  // Since when the link has moved bodies without a pause, and how many bytes
  // have arrived since then.
  base::steady_instant busy_since_;
  std::uint64_t busy_bytes_ = 0;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_TRANSFER_QUEUE_H_
