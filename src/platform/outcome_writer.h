// Writes the findings of the evaluators about a move into its object at the
// platform: that the new version is good in a data centre, and the final
// outcome. An outcome becomes final by one compare-and-set; the first final
// outcome is kept, and a later finding does not change it.
//
// A finding is merged into the stored object, and merging it again changes
// nothing. It can therefore be retried after a conflict or a lost response, and
// two evaluators may write at once. Retries go on through a platform outage
// until the process ends.
//
// A move costs at most (4 data centres' findings + 1 outcome) * 2 evaluators *
// (1 read + 1 write), or 20 calls over its whole life.
#ifndef FIREFLYSPAR_PLATFORM_OUTCOME_WRITER_H_
#define FIREFLYSPAR_PLATFORM_OUTCOME_WRITER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/hooks.h"
#include "base/metrics.h"
#include "decisions/move.h"
#include "platform/backoff.h"
#include "platform/object_api.h"

namespace fireflyspar::platform {

// What an evaluator found about one move.
struct move_finding {
  std::string move_id;
  bool rolled_back = false;
  std::string evidence;  // One sentence, shown to operators.
  // Data centres whose evaluators found the new version good; sorted.
  std::vector<std::string> ready_data_centres;
  // The move is done when all of these are ready; empty: this finding never
  // completes it.
  std::vector<std::string> required_data_centres;

  bool operator==(const move_finding&) const = default;
};

// Returns the stored move with the finding merged in, which is to be written to
// the platform. A pure function. A move whose outcome is final does not change.
decisions::move Join(const decisions::move& stored,
                     const move_finding& finding);

struct outcome_writer_options {
  object_api api;  // Not shared: Stop interrupts it permanently.
  base::random_hook random;
  base::metrics* metrics = nullptr;

  // Called on the writer's thread with the move as stored at the platform after
  // a finding was merged in, so that it can be sent to the mesh.
  std::function<void(const decisions::move&)> on_written;

  backoff_options retry{.most = std::chrono::milliseconds{5000}};
};

class outcome_writer {
 public:
  explicit outcome_writer(outcome_writer_options options);
  ~outcome_writer();
  outcome_writer(const outcome_writer&) = delete;
  outcome_writer& operator=(const outcome_writer&) = delete;

  void Start();
  void Stop();

  // Queues the finding, merged with any finding for the same move that is not
  // written yet. Returns at once; may be called from any thread.
  void Write(const move_finding& finding);

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace fireflyspar::platform

#endif  // FIREFLYSPAR_PLATFORM_OUTCOME_WRITER_H_
