#include "decisions/ranked_admission.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace fireflyspar::decisions {
namespace {

// Smoothing of the time at the server: each answer has a weight of 1/8.
constexpr int kSmoothing = 8;

// Weight of one wait in the smoothed ratio of actual to expected waits, and the
// upper bound of that ratio.
constexpr double kWaitInflationWeight = 0.1;
constexpr double kMaxWaitInflation = 20;

// Half-life of what that ratio exceeds 1 by while no request has waited.
constexpr std::chrono::milliseconds kInflationHalfLife{250};

// The largest share of the time that a request can spare that is kept free for
// the spread of the time at the server. The rest can be spent in the queue, so
// that a server whose times are spread widely has a queue as well.
constexpr double kMaxMarginShare = 0.5;

// Expected waits below this are too short for a meaningful ratio.
constexpr std::chrono::milliseconds kMinWaitForInflation{5};

admission_result Refuse(base::error_kind reason, base::duration wait) {
  return {.choice = admission_choice::kRefuse, .reason = reason, .wait = wait};
}

// Returns the latest time at which the request may start at the server so that
// its answer is still useful: before the objective as long as that can be met,
// before the deadline otherwise. The answer to a nested call is useful until
// its deadline.
base::steady_instant LatestStart(const admission_request& request,
                                 base::steady_instant now) {
  if (request.is_late || request.is_nested_call) {
    return request.deadline - request.typical_duration;
  }
  const base::steady_instant latest =
      std::min(request.objective, request.deadline) - request.typical_duration;
  const std::chrono::duration<double, std::micro> spare = latest - now;
  const auto most =
      std::chrono::duration_cast<base::duration>(spare * kMaxMarginShare);
  return latest - std::min(request.duration_margin, most);
}

}  // namespace

void ranked_admission::Open(int slots) {
  slots_ = slots;
  closed_.reset();
}

std::optional<base::duration> ranked_admission::WaitForTurn(
    base::steady_instant now) const {
  const bool waits_for_turn =
      !closed_ && !queue_.empty() && running_ < slots_ && rate_.IsLimited();
  if (!waits_for_turn) return std::nullopt;
  return rate_.WaitBehind(0, now);
}

bool ranked_admission::HasTimelyWaiting() const {
  return std::ranges::any_of(queue_, [](const admission_request& each) {
    return !each.is_nested_call && !each.is_late;
  });
}

base::duration ranked_admission::ExpectedWait(const admission_request& request,
                                              base::steady_instant now) const {
  const auto ahead = std::distance(queue_.begin(), queue_.lower_bound(request));
  const base::duration each = typical_duration_.count() > 0
                                  ? typical_duration_
                                  : request.typical_duration;
  const bool finds_slot = running_ + ahead < slots_;
  const base::duration slot_wait =
      finds_slot ? base::duration(0) : each * (ahead + 1) / std::max(1, slots_);
  const base::duration base_wait =
      std::max(slot_wait, rate_.WaitBehind(ahead, now));
  return base::duration(
      static_cast<std::int64_t>(static_cast<double>(base_wait.count()) *
                                WaitInflation(UrgencyOf(request), now)));
}

// A request that has waited longer than was expected is overtaken by others.
// The rest of its wait takes longer by the same factor.
base::duration ranked_admission::RemainingWait(const admission_request& waiting,
                                               base::steady_instant now) const {
  const base::duration expected = ExpectedWait(waiting, now);
  if (waiting.expected_wait < kMinWaitForInflation) return expected;
  const double factor = std::chrono::duration<double>(now - waiting.entered) /
                        std::chrono::duration<double>(waiting.expected_wait);
  if (factor <= 1) return expected;
  return base::duration(static_cast<std::int64_t>(
      static_cast<double>(expected.count()) * factor));
}

double ranked_admission::WaitInflation(const urgency& of,
                                       base::steady_instant now) const {
  const auto known = wait_inflation_.find(of);
  if (known == wait_inflation_.end()) return 1;
  const double half_lives =
      std::chrono::duration<double>(now - known->second.learnt_at) /
      std::chrono::duration<double>(kInflationHalfLife);
  return 1 + (known->second.factor - 1) * std::exp2(-half_lives);
}

void ranked_admission::UpdateWaitInflation(const admission_request& request,
                                           base::steady_instant now) {
  if (request.expected_wait < kMinWaitForInflation) return;
  const urgency of = UrgencyOf(request);
  double inflation = WaitInflation(of, now);
  const double ratio = std::chrono::duration<double>(now - request.entered) /
                       std::chrono::duration<double>(request.expected_wait);
  // The expected wait already included the inflation at that time, so the ratio
  // corrects the inflation instead of replacing it.
  inflation *=
      1 + kWaitInflationWeight * (std::min(ratio, kMaxWaitInflation) - 1);
  wait_inflation_[of] = {
      .factor = std::clamp(inflation, 1.0, kMaxWaitInflation),
      .learnt_at = now};
}

admission_request ranked_admission::ToQueued(const admission_request& request,
                                             base::steady_instant now) const {
  admission_request waiting = request;
  waiting.entered = now;
  waiting.is_late = now + request.typical_duration > request.objective;
  waiting.expected_wait = ExpectedWait(waiting, now);
  return waiting;
}

admission_result ranked_admission::Evaluate(const admission_request& request,
                                            base::steady_instant now) const {
  if (closed_) return Refuse(*closed_, {});
  if (now >= request.deadline) {
    return Refuse(base::error_kind::kDeadlinePassed, {});
  }
  if (CanStart(now) && queue_.empty()) {
    return {.choice = admission_choice::kRun};
  }
  const admission_request waiting = ToQueued(request, now);
  const base::duration wait = waiting.expected_wait;
  if (wait > request.wait_limit) return Refuse(base::error_kind::kShed, wait);
  const bool yields =
      waiting.is_late && !waiting.is_nested_call && HasTimelyWaiting();
  if (yields || now + wait > LatestStart(waiting, now)) {
    return Refuse(base::error_kind::kShed, wait);
  }
  return {.choice = admission_choice::kWait, .wait = wait};
}

admission_result ranked_admission::Enter(const admission_request& request,
                                         base::steady_instant now) {
  const admission_result result = Evaluate(request, now);
  if (result.choice == admission_choice::kRun) Start(now);
  if (result.choice == admission_choice::kWait) {
    queue_.insert(ToQueued(request, now));
  }
  return result;
}

void ranked_admission::Leave(base::duration took) {
  --running_;
  typical_duration_ =
      typical_duration_.count() == 0
          ? took
          : typical_duration_ + (took - typical_duration_) / kSmoothing;
}

bool ranked_admission::Abandon(std::uint64_t ticket) {
  const auto waiting =
      std::ranges::find(queue_, ticket, &admission_request::ticket);
  if (waiting == queue_.end()) return false;
  queue_.erase(waiting);
  return true;
}

void ranked_admission::Shorten(std::uint64_t ticket,
                               base::steady_instant deadline) {
  const auto waiting =
      std::ranges::find(queue_, ticket, &admission_request::ticket);
  if (waiting == queue_.end() || waiting->deadline <= deadline) return;
  auto shortened = queue_.extract(waiting);
  shortened.value().deadline = deadline;
  shortened.value().is_shortened = true;
  queue_.insert(std::move(shortened));
}

std::vector<queued_result> ranked_admission::ProcessQueue(
    base::steady_instant now) {
  std::vector<queued_result> ended;
  const auto end = [&](auto waiting, const admission_result& result) {
    ended.push_back({.ticket = waiting->ticket, .result = result});
    return queue_.erase(waiting);
  };
  for (auto each = queue_.begin(); each != queue_.end();) {
    const bool cannot_finish = now + each->typical_duration > each->deadline;
    if (closed_) {
      each = end(each, Refuse(*closed_, {}));
    } else if (cannot_finish) {
      UpdateWaitInflation(*each, now);
      each =
          end(each, Refuse(base::error_kind::kShed, ExpectedWait(*each, now)));
    } else if (CanStart(now)) {
      Start(now);
      UpdateWaitInflation(*each, now);
      each = end(each, {.choice = admission_choice::kRun});
    } else if (each->is_shortened && HasNoTurn(*each, now)) {
      each =
          end(each, Refuse(base::error_kind::kShed, ExpectedWait(*each, now)));
    } else {
      ++each;
    }
  }
  return ended;
}

}  // namespace fireflyspar::decisions
