// What the gate lets through to the backend server beside it, and when: a
// concurrency limit that follows the server's sheds, a short queue that only
// holds requests which can still make their deadlines, a slow start for a cold
// server, and a drain. Requests are known by ticket; the caller of this class
// keeps what belongs to them.
#ifndef FIREFLYSPAR_DECISIONS_ADMISSION_H_
#define FIREFLYSPAR_DECISIONS_ADMISSION_H_

#include <cstdint>
#include <deque>
#include <vector>

#include "base/error.h"
#include "base/hooks.h"
#include "decisions/member.h"

namespace fireflyspar::decisions {

struct admission_options {
  double queued_per_slot = 1;  // Length of the queue, relative to the slots.
  base::duration cold_start =
      std::chrono::seconds(10);  // From one slot to all.
  double decrease = 0.7;         // Factor on the limit at a shed.
  double increase = 0.2;  // Slots regained by a whole limit of good answers.
};

enum class admission_step { kRun, kWait, kRefuse };

struct admission_verdict {
  admission_step step = admission_step::kRefuse;
  base::error_kind reason = base::error_kind::kShed;  // For kRefuse.
};

// A waiting request's turn: it runs now, or is refused.
struct admission_turn {
  std::uint64_t ticket = 0;
  admission_verdict verdict;
};

// How a request that ran ended.
struct admission_ending {
  bool shed = false;          // The server refused it as overload.
  base::duration duration{};  // At the server; ignored for a shed.
};

class admission {
 public:
  explicit admission(admission_options options = {});

  // What the server last announced. Nothing is let in while it is absent or
  // draining.
  void SetServer(server_state state, int slots, base::instant now);

  // Lets nothing new in from now on, whatever the server announces.
  void Drain();

  admission_verdict Enter(std::uint64_t ticket, base::instant deadline,
                          base::instant now);

  // A request that ran has ended; the turns that follow from it.
  std::vector<admission_turn> Leave(const admission_ending& ending,
                                    base::instant now);

  // A waiting request's caller went away. False when it was not waiting.
  bool Abandon(std::uint64_t ticket);

  // Refuses whoever can no longer make it, and lets in whom a grown limit has
  // room for.
  std::vector<admission_turn> Tick(base::instant now);

  int InFlight() const { return in_flight_; }
  int Waiting() const { return static_cast<int>(queue_.size()); }

  // Requests that may run at once now.
  int Limit(base::instant now) const;

 private:
  struct waiter {
    std::uint64_t ticket = 0;
    base::instant deadline;
  };

  std::vector<admission_turn> GiveTurns(base::instant now);
  base::duration ExpectedWait(base::instant now) const;
  bool IsOpen() const;
  base::error_kind ClosedReason() const;

  admission_options options_;
  server_state state_ = server_state::kAbsent;
  bool draining_ = false;
  int slots_ = 0;
  double limit_ = 0;
  base::instant started_;  // When the server was first heard as starting.
  base::instant last_shed_;
  base::duration typical_{0};  // Smoothed time at the server.
  int in_flight_ = 0;
  std::deque<waiter> queue_;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_ADMISSION_H_
