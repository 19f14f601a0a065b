#include "decisions/admission.h"

#include <algorithm>
#include <cmath>

namespace fireflyspar::decisions {
namespace {

constexpr admission_verdict kRunNow{.step = admission_step::kRun};
constexpr admission_verdict kWaitHere{.step = admission_step::kWait};

admission_verdict Refuse(base::error_kind reason) {
  return {.step = admission_step::kRefuse, .reason = reason};
}

// Smoothing of the time at the server: each answer has a weight of 1/8.
constexpr int kSmoothing = 8;

base::duration Smooth(base::duration typical_duration, base::duration latest) {
  if (typical_duration.count() == 0) return latest;
  return typical_duration + (latest - typical_duration) / kSmoothing;
}

}  // namespace

admission::admission(admission_options options) : options_(options) {}

void admission::SetServer(server_state state, int slots, base::instant now) {
  const bool was_cold = state_ == server_state::kStarting;
  const bool is_cold = state == server_state::kStarting;
  if (is_cold && !was_cold) started_ = now;
  const bool is_new = state_ == server_state::kAbsent || slots != slots_;
  state_ = state;
  slots_ = slots;
  if (is_new) limit_ = slots;
}

void admission::Drain() { draining_ = true; }

bool admission::IsOpen() const {
  return !draining_ && (state_ == server_state::kServing ||
                        state_ == server_state::kStarting);
}

base::error_kind admission::ClosedReason() const {
  const bool leaving = draining_ || state_ == server_state::kDraining;
  return leaving ? base::error_kind::kDraining : base::error_kind::kNoServer;
}

int admission::Limit(base::instant now) const {
  double limit = limit_;
  if (state_ == server_state::kStarting) {
    const double warm = static_cast<double>((now - started_).count()) /
                        static_cast<double>(options_.cold_start.count());
    limit = std::min(limit, slots_ * std::clamp(warm, 0.0, 1.0));
  }
  return std::max(1, static_cast<int>(std::floor(limit)));
}

// Returns how long a new request would be queued. For example, with a limit of
// 6, 6 running and 2 queued, it waits until three of the six have ended, which
// takes half of the typical time at the server.
base::duration admission::ExpectedWait(base::instant now) const {
  const auto ahead = static_cast<std::int64_t>(queue_.size()) + 1;
  return typical_duration_ * ahead / Limit(now);
}

admission_verdict admission::Enter(std::uint64_t ticket, base::instant deadline,
                                   base::instant now) {
  if (!IsOpen()) return Refuse(ClosedReason());
  if (now >= deadline) return Refuse(base::error_kind::kDeadlinePassed);
  if (in_flight_ < Limit(now) && queue_.empty()) {
    ++in_flight_;
    return kRunNow;
  }
  const auto max_queue_length =
      static_cast<std::size_t>(std::ceil(options_.queued_per_slot * slots_));
  if (queue_.size() >= max_queue_length) return Refuse(base::error_kind::kShed);
  if (now + ExpectedWait(now) + typical_duration_ > deadline) {
    return Refuse(base::error_kind::kShed);
  }
  queue_.push_back({.ticket = ticket, .deadline = deadline});
  return kWaitHere;
}

std::vector<queued_verdict> admission::Leave(const admission_ending& ending,
                                             base::instant now) {
  --in_flight_;
  if (ending.shed) {
    // The limit is lowered at most once in each typical time at the server,
    // since the sheds of one burst are a single sign of overload.
    if (now - last_shed_ > typical_duration_) {
      limit_ =
          std::max(1.0, std::min(limit_, in_flight_ + 1.0) * options_.decrease);
      last_shed_ = now;
    }
  } else {
    typical_duration_ = Smooth(typical_duration_, ending.duration);
    limit_ = std::min<double>(
        slots_, limit_ + options_.increase / std::max(1.0, limit_));
  }
  return AdmitQueued(now);
}

bool admission::Abandon(std::uint64_t ticket) {
  return std::erase_if(queue_, [ticket](const queued_request& each) {
           return each.ticket == ticket;
         }) > 0;
}

std::vector<queued_verdict> admission::Tick(base::instant now) {
  return AdmitQueued(now);
}

std::vector<queued_verdict> admission::AdmitQueued(base::instant now) {
  std::vector<queued_verdict> results;
  const auto refuse_all = [&](base::error_kind reason) {
    for (const queued_request& each : queue_) {
      results.push_back({.ticket = each.ticket, .verdict = Refuse(reason)});
    }
    queue_.clear();
  };
  if (!IsOpen()) {
    refuse_all(ClosedReason());
    return results;
  }
  std::erase_if(queue_, [&](const queued_request& each) {
    if (now < each.deadline) return false;
    results.push_back({.ticket = each.ticket,
                       .verdict = Refuse(base::error_kind::kDeadlinePassed)});
    return true;
  });
  while (!queue_.empty() && in_flight_ < Limit(now)) {
    ++in_flight_;
    results.push_back({.ticket = queue_.front().ticket, .verdict = kRunNow});
    queue_.pop_front();
  }
  return results;
}

}  // namespace fireflyspar::decisions
