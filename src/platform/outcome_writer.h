// Writes what judges find about a move into its object at the platform: a data
// centre's word that the new version is good, and the final outcome. An outcome
// becomes final by one compare-and-set, and the first final outcome stands; a
// verdict that comes later gives way to it.
//
// A finding is a join into the stored object, so that it may be tried again
// after a conflict or a lost answer, and so that two judges at once do no harm.
// Trying goes on through a platform outage for as long as the process lives.
//
// A move costs at most (4 data centres' words + 1 outcome) * 2 judges * (1 read
// + 1 write), or 20 calls over its whole life.
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

// What a judge found about one move.
struct move_finding {
  std::string move_id;
  bool taken_back = false;
  std::string evidence;  // One sentence, shown to operators.
  // Data centres whose judges found the new version good; sorted.
  std::vector<std::string> ready_data_centres;
  // The move is done when all of these are ready; empty: never by this finding.
  std::vector<std::string> needed_data_centres;

  bool operator==(const move_finding&) const = default;
};

// The move as it should stand at the platform once the finding is joined in.
// Pure. A move whose outcome is final does not change.
decisions::move Join(const decisions::move& stored,
                     const move_finding& finding);

struct outcome_writer_options {
  object_api api;  // The writer's own: Stop interrupts it for good.
  base::random_hook random;
  base::metrics* metrics = nullptr;

  // Called on the writer's thread with the move as it stands at the platform
  // after a finding was joined in: to be offered to the mesh.
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

  // Takes the finding to be written, joined with what still waits for the same
  // move. Returns at once, from any thread.
  void Write(const move_finding& finding);

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace fireflyspar::platform

#endif  // FIREFLYSPAR_PLATFORM_OUTCOME_WRITER_H_
