#include "decisions/transfer_queue.h"

#include <algorithm>
#include <chrono>

namespace fireflyspar::decisions {
namespace {

// Smoothing of the rate: the weight of one measurement.
constexpr double kRateWeight = 0.2;

// A busy period is measured once it has moved this much, so that connection
// delays matter little.
constexpr std::uint64_t kMinMeasuredBytes = 100'000;

// Lower bound of the rate, in bytes per second. A link that was cut looks
// slower than any link is.
constexpr double kMinRate = 20'000;

admission_result Refuse(base::duration wait) {
  return {.choice = admission_choice::kRefuse,
          .reason = base::error_kind::kShed,
          .wait = wait};
}

base::steady_instant LatestEnd(const transfer_request& request, bool is_late) {
  return is_late ? request.deadline
                 : std::min(request.objective, request.deadline);
}

}  // namespace

base::duration transfer_queue::TimeFor(std::uint64_t bytes) const {
  return std::chrono::duration_cast<base::duration>(
      std::chrono::duration<double>(static_cast<double>(bytes) / rate_));
}

std::uint64_t transfer_queue::BytesAhead(const queued_body& body) const {
  std::uint64_t ahead = moving_bytes_;
  for (auto each = queue_.begin(); each != queue_.end() && *each < body;
       ++each) {
    ahead += each->request.bytes;
  }
  return ahead;
}

bool transfer_queue::HasRoom(std::uint64_t bytes) const {
  if (held_bytes_ + bytes > options_.max_held_bytes && held_bytes_ > 0) {
    return false;
  }
  return moving_.empty() || TimeFor(moving_bytes_ + bytes) <= options_.window;
}

void transfer_queue::Admit(const transfer_request& request) {
  moving_[request.ticket] = request.bytes;
  moving_bytes_ += request.bytes;
  held_bytes_ += request.bytes;
}

admission_result transfer_queue::Enter(const transfer_request& request,
                                       base::steady_instant now) {
  queued_body body{.request = request};
  const base::duration own_time = TimeFor(request.bytes) + request.time_after;
  body.is_late = now + own_time > request.objective;
  const base::duration wait = TimeFor(BytesAhead(body));
  const bool is_in_time =
      now + wait + own_time <= LatestEnd(request, body.is_late);
  if (!is_in_time || wait > request.wait_limit) return Refuse(wait);
  if (queue_.empty() && HasRoom(request.bytes)) {
    if (moving_.empty()) {
      busy_since_ = now;
      busy_bytes_ = 0;
    }
    Admit(request);
    return {.choice = admission_choice::kRun};
  }
  queue_.insert(body);
  queued_bytes_ += request.bytes;
  return {.choice = admission_choice::kWait, .wait = wait};
}

void transfer_queue::LearnRate(std::uint64_t arrived_bytes,
                               base::steady_instant now) {
  busy_bytes_ += arrived_bytes;
  if (busy_bytes_ < kMinMeasuredBytes) return;
  const double seconds =
      std::chrono::duration<double>(now - busy_since_).count();
  if (seconds > 0) {
    const double measured = static_cast<double>(busy_bytes_) / seconds;
    // The link itself is no faster than its nominal rate; a higher measurement
    // comes from bytes that were under way before the period began.
    rate_ += (measured - rate_) * kRateWeight;
    rate_ = std::clamp(rate_, kMinRate, options_.bytes_per_second);
  }
  busy_since_ = now;
  busy_bytes_ = 0;
}

void transfer_queue::Arrive(std::uint64_t ticket, bool is_whole,
                            base::steady_instant now) {
  const auto found = moving_.find(ticket);
  if (found == moving_.end()) return;
  const std::uint64_t bytes = found->second;
  moving_.erase(found);
  moving_bytes_ -= bytes;
  if (is_whole) LearnRate(bytes, now);
}

void transfer_queue::Release(std::uint64_t bytes) { held_bytes_ -= bytes; }

bool transfer_queue::Abandon(std::uint64_t ticket) {
  const auto found = std::ranges::find(
      queue_, ticket,
      [](const queued_body& each) { return each.request.ticket; });
  if (found == queue_.end()) return false;
  queued_bytes_ -= found->request.bytes;
  queue_.erase(found);
  return true;
}

void transfer_queue::Shorten(std::uint64_t ticket,
                             base::steady_instant deadline) {
  const auto waiting = std::ranges::find(
      queue_, ticket,
      [](const queued_body& each) { return each.request.ticket; });
  if (waiting == queue_.end() || waiting->request.deadline <= deadline) return;
  auto shortened = queue_.extract(waiting);
  shortened.value().request.deadline = deadline;
  shortened.value().request.is_shortened = true;
  queue_.insert(std::move(shortened));
}

bool transfer_queue::IsTooLate(const queued_body& body,
                               base::steady_instant now) const {
  const transfer_request& request = body.request;
  const base::duration wait =
      request.is_shortened ? TimeFor(BytesAhead(body)) : base::duration(0);
  return now + wait + TimeFor(request.bytes) + request.time_after >
         request.deadline;
}

std::vector<queued_result> transfer_queue::ProcessQueue(
    base::steady_instant now) {
  std::vector<queued_result> ended;
  bool is_blocked = false;
  for (auto each = queue_.begin(); each != queue_.end();) {
    const transfer_request request = each->request;
    const bool cannot_finish = IsTooLate(*each, now);
    // Bodies are admitted in order: a small one doesn't overtake a large one,
    // which would otherwise never find room.
    is_blocked = is_blocked || !HasRoom(request.bytes);
    if (is_blocked && !cannot_finish) {
      ++each;
      continue;
    }
    queued_bytes_ -= request.bytes;
    each = queue_.erase(each);
    if (cannot_finish) {
      ended.push_back(
          {.ticket = request.ticket, .result = Refuse(TimeFor(Backlog()))});
      continue;
    }
    Admit(request);
    ended.push_back({.ticket = request.ticket,
                     .result = {.choice = admission_choice::kRun}});
  }
  return ended;
}

}  // namespace fireflyspar::decisions
