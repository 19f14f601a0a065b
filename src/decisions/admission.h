// Decides which requests a gate admits to the backend server on its instance,
// and when. It keeps a concurrency limit that is lowered when the server sheds
// requests and raised by every other answer, a short queue that holds only
// requests expected to meet their deadlines, a slow start for a cold server,
// and a drain. A request is identified by its ticket; the user of this class
// keeps the request itself.
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
  double queued_per_slot = 1;  // Maximum queue length for each slot.
  base::duration cold_start =
      std::chrono::seconds(10);  // Time to ramp up from one slot to all.
  double decrease = 0.7;         // Factor applied to the limit at a shed.
  double increase = 0.2;  // Slots regained for each `limit` other answers.
};

enum class admission_step { kRun, kWait, kRefuse };

struct admission_verdict {
  admission_step step = admission_step::kRefuse;
  base::error_kind reason = base::error_kind::kShed;  // Only for kRefuse.
};

// The decision on a queued request: it runs now, or is refused.
struct queued_verdict {
  std::uint64_t ticket = 0;
  admission_verdict verdict;
};

// The result of a request that ran.
struct admission_ending {
  bool shed = false;          // The server refused it because of overload.
  base::duration duration{};  // Time at the server; ignored for a shed.
};

class admission {
 public:
  explicit admission(admission_options options = {});

  // Sets the state and the number of slots that the server last announced.
  // Nothing is admitted while the server is absent or draining.
  void SetServer(server_state state, int slots, base::instant now);

  // Stops admitting requests for good, whatever the server announces later.
  void Drain();

  // Admits, queues or refuses a new request.
  admission_verdict Enter(std::uint64_t ticket, base::instant deadline,
                          base::instant now);

  // Records the end of a request that ran and returns the decisions on queued
  // requests that follow from it.
  std::vector<queued_verdict> Leave(const admission_ending& ending,
                                    base::instant now);

  // Removes a queued request whose caller went away. Returns false if no such
  // request was queued.
  bool Abandon(std::uint64_t ticket);

  // Refuses queued requests whose deadline has passed, or all of them when the
  // server takes no new requests, and admits those that the limit allows.
  std::vector<queued_verdict> Tick(base::instant now);

  int InFlight() const { return in_flight_; }
  int Waiting() const { return static_cast<int>(queue_.size()); }

  // Returns how many requests may run at once now.
  int Limit(base::instant now) const;

 private:
  struct queued_request {
    std::uint64_t ticket = 0;
    base::instant deadline;
  };

  std::vector<queued_verdict> AdmitQueued(base::instant now);
  base::duration ExpectedWait(base::instant now) const;
  bool IsOpen() const;
  base::error_kind ClosedReason() const;

  admission_options options_;
  server_state state_ = server_state::kAbsent;
  bool draining_ = false;
  int slots_ = 0;
  double limit_ = 0;
  base::instant started_;  // Start of the latest kStarting state.
  base::instant last_shed_;
  base::duration typical_duration_{0};  // Smoothed time at the server.
  int in_flight_ = 0;
  std::deque<queued_request> queue_;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_ADMISSION_H_
