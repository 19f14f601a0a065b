#include "platform/outcome_writer.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

#include "base/log.h"
#include "decisions/move_state_text.h"
#include "platform/object_formats.h"
#include "platform/reachability.h"
#include "platform/worker_thread.h"

namespace fireflyspar::platform {
namespace {

using base::error_kind;
using decisions::move_state;

constexpr base::duration kIdleWait = std::chrono::hours{1};

std::vector<std::string> Union(const std::vector<std::string>& left,
                               const std::vector<std::string>& right) {
  std::vector<std::string> both;
  std::ranges::set_union(left, right, std::back_inserter(both));
  return both;
}

// Merges two findings about the same move.
move_finding Join(const move_finding& left, const move_finding& right) {
  move_finding joined = left.rolled_back ? left : right;
  joined.ready_data_centres =
      Union(left.ready_data_centres, right.ready_data_centres);
  joined.required_data_centres =
      Union(left.required_data_centres, right.required_data_centres);
  return joined;
}

}  // namespace

decisions::move Join(const decisions::move& stored,
                     const move_finding& finding) {
  if (stored.is_final) return stored;
  decisions::move joined = stored;
  joined.ready_data_centres =
      Union(stored.ready_data_centres, finding.ready_data_centres);
  const bool all_ready = !finding.required_data_centres.empty() &&
                         std::ranges::includes(joined.ready_data_centres,
                                               finding.required_data_centres);
  if (finding.rolled_back || stored.state == move_state::kRolledBack) {
    joined.state = move_state::kRolledBack;
  } else if (all_ready) {
    joined.state = move_state::kDone;
  }
  joined.is_final = joined.state != move_state::kRunning;
  if (joined.is_final && joined.evidence.empty()) {
    joined.evidence = finding.evidence;
  }
  return joined;
}

class outcome_writer::state {
 public:
  explicit state(outcome_writer_options options)
      : options_(std::move(options)),
        reachability_("outcome_writer", *options_.metrics, options_.retry,
                      options_.random),
        written_(options_.metrics->Counter(
            "fireflyspar_move_findings_written_total")) {}

  void Start() {
    thread_.Start([this] { Step(); });
  }

  void Stop() {
    thread_.Stop([this] {
      if (options_.api.interrupt) options_.api.interrupt();
    });
  }

  void Write(const move_finding& finding) {
    {
      const std::lock_guard lock(mutex_);
      const auto [place, is_new] =
          pending_findings_.try_emplace(finding.move_id, finding);
      if (!is_new) place->second = Join(place->second, finding);
    }
    thread_.Wake();
  }

 private:
  void Step() {
    const auto finding = Next();
    if (!finding) {
      thread_.Pause(kIdleWait);
      return;
    }
    const auto stored = TryOnce(*finding);
    if (stored) {
      reachability_.OnSuccess();
      RemoveIfWritten(*finding);
      if (*stored) options_.on_written(**stored);
    } else {
      thread_.Pause(reachability_.OnFailure(stored.Failure()));
    }
  }

  // Returns the next finding to write. Moves take turns, so that one that keeps
  // failing does not delay the others.
  std::optional<move_finding> Next() {
    const std::lock_guard lock(mutex_);
    if (pending_findings_.empty()) return std::nullopt;
    auto next = pending_findings_.upper_bound(last_tried_);
    if (next == pending_findings_.end()) next = pending_findings_.begin();
    last_tried_ = next->first;
    return next->second;
  }

  // Removes a finding that was written. If another finding was merged into it
  // in the meantime, it stays in the queue and is written again.
  void RemoveIfWritten(const move_finding& written) {
    const std::lock_guard lock(mutex_);
    const auto place = pending_findings_.find(written.move_id);
    if (place != pending_findings_.end() && place->second == written) {
      pending_findings_.erase(place);
    }
  }

  // Merges the finding into the stored move and returns the move as it is then
  // stored, or nothing if the move was removed or cannot be parsed.
  base::result<std::optional<decisions::move>> TryOnce(
      const move_finding& finding) {
    const std::string key = std::string(kMovePrefix) + finding.move_id;
    const auto stored = options_.api.get(key);
    if (!stored) {
      if (stored.Failure().Kind() != error_kind::kNotFound) {
        return stored.Failure();
      }
      LogMalformedObject(key, stored.Failure());
      return std::optional<decisions::move>{};
    }
    const auto current = ParseMove(stored->value);
    if (!current) {
      LogMalformedObject(key, current.Failure());
      return std::optional<decisions::move>{};
    }
    decisions::move joined = Join(*current, finding);
    if (joined == *current) return std::optional(joined);
    const auto put = options_.api.put(key, ToText(joined), stored->version);
    if (!put) return put.Failure();
    ++written_;
    if (joined.is_final) {
      base::LogInfo("move_outcome_written",
                    {{"move", joined.id},
                     {"outcome", std::string(decisions::ToText(joined.state))},
                     {"evidence", joined.evidence}});
    }
    return std::optional(joined);
  }

  const outcome_writer_options options_;
  reachability reachability_;
  base::counter& written_;

  // Guards pending_findings_ and last_tried_; a lock-order leaf.
  std::mutex mutex_;
  std::map<std::string, move_finding> pending_findings_;  // By move id.
  std::string last_tried_;

  worker_thread thread_;
};

outcome_writer::outcome_writer(outcome_writer_options options)
    : state_(std::make_unique<state>(std::move(options))) {}

outcome_writer::~outcome_writer() { Stop(); }

void outcome_writer::Start() { state_->Start(); }

void outcome_writer::Stop() { state_->Stop(); }

void outcome_writer::Write(const move_finding& finding) {
  state_->Write(finding);
}

}  // namespace fireflyspar::platform
