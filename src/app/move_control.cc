#include "app/move_control.h"

#include <algorithm>
#include <utility>

namespace fireflyspar::app {

move_control::move_control(move_control_options options)
    : options_(std::move(options)), tracker_(options_.tracker) {}

void move_control::SetView(const decisions::fleet_view& view) {
  const std::lock_guard lock(mutex_);
  if (view.configuration) tracker_.SetPolicy(view.configuration->content.moves);
  tracker_.SetMoves(view.moves, options_.clock());
}

void move_control::Record(const decisions::call_outcome& outcome) {
  const std::lock_guard lock(mutex_);
  tracker_.Record(outcome, options_.clock());
}

void move_control::Merge(const decisions::evidence_report& report) {
  const std::lock_guard lock(mutex_);
  tracker_.Merge(report, options_.clock());
}

double move_control::MovedShare(const decisions::move& move) const {
  const std::lock_guard lock(mutex_);
  return tracker_.MovedShare(move, options_.clock());
}

void move_control::Tick() {
  const auto effects = [this] {
    const std::lock_guard lock(mutex_);
    return tracker_.Tick(options_.clock());
  }();
  std::ranges::for_each(effects.reports_to_send, options_.send_report);
  std::ranges::for_each(effects.rollbacks, options_.offer_move);
  std::ranges::for_each(effects.updates, options_.offer_move);
  std::ranges::for_each(effects.rollbacks, options_.write_outcome);
  std::ranges::for_each(effects.ready, options_.write_ready);
}

}  // namespace fireflyspar::app
