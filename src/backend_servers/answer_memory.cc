#include "backend_servers/answer_memory.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace fireflyspar::backend_servers {

struct answer_memory::state {
  explicit state(const answer_memory_options& options)
      : max_body_bytes(options.max_body_bytes),
        // A read buffer each for itself, for what a body without a length may
        // take beyond the longest, and for the head.
        loan_bytes(options.max_body_bytes + 3 * kMaxAnswerBuffer),
        max_held(options.max_bytes > loan_bytes ? options.max_bytes - loan_bytes
                                                : 0) {}

  // Makes the answer hold `bytes` in the part for all, if there is room.
  bool TryHold(answer_room& answer, std::uint64_t bytes) {
    const std::uint64_t others = held - answer.held_;
    if (others + bytes > max_held) return false;
    held = others + bytes;
    answer.held_ = bytes;
    return true;
  }

  bool TryLend(answer_room& answer) {
    if (is_lent) return false;
    is_lent = true;
    answer.has_loan_ = true;
    return true;
  }

  bool TryGrant(answer_room& answer) {
    return TryHold(answer, answer.wanted_) || TryLend(answer);
  }

  // Grants those that wait what has become free.
  void ProcessQueue() {
    while (!waiting.empty() && TryGrant(*waiting.front())) {
      answer_room& granted = *waiting.front();
      waiting.pop_front();
      granted.timer_->cancel();
    }
  }

  bool IsWaiting(const answer_room& answer) const {
    return std::ranges::find(waiting, &answer) != waiting.end();
  }

  void Remove(answer_room& answer) {
    std::erase(waiting, &answer);
    held -= std::exchange(answer.held_, 0);
    if (std::exchange(answer.has_loan_, false)) is_lent = false;
    ProcessQueue();
  }

  std::uint64_t max_body_bytes;
  std::uint64_t loan_bytes;
  std::uint64_t max_held;
  std::uint64_t held = 0;
  bool is_lent = false;
  std::deque<answer_room*> waiting;
};

answer_memory::answer_memory(const answer_memory_options& options)
    : state_(std::make_shared<state>(options)) {}

std::uint64_t answer_memory::UsedBytes() const {
  return state_->held + (state_->is_lent ? state_->loan_bytes : 0);
}

std::uint64_t answer_memory::MaxBytes() const {
  return state_->max_held + state_->loan_bytes;
}

std::uint64_t answer_memory::MaxBodyBytes() const {
  return state_->max_body_bytes;
}

answer_room::answer_room(const answer_memory& memory,
                         net::any_io_executor executor)
    : memory_(memory.state_), executor_(std::move(executor)) {}

answer_room::~answer_room() { memory_->Remove(*this); }

std::uint64_t answer_room::MaxBodyBytes() const {
  return memory_->max_body_bytes;
}

net::awaitable<bool> answer_room::Grow(
    std::uint64_t bytes, std::chrono::steady_clock::time_point deadline) {
  const bool has_room =
      bytes <= kSmallAnswerBytes || bytes <= held_ || has_loan_;
  if (has_room) co_return true;
  wanted_ = bytes;
  const bool is_next = memory_->waiting.empty();
  if (is_next && memory_->TryGrant(*this)) co_return true;
  if (is_cancelled_) co_return false;
  memory_->waiting.push_back(this);
  timer_.emplace(executor_, deadline);
  boost::system::error_code ignored;
  co_await timer_->async_wait(net::redirect_error(net::use_awaitable, ignored));
  timer_.reset();
  if (!memory_->IsWaiting(*this)) co_return true;
  std::erase(memory_->waiting, this);
  // Others may have waited for this one only.
  memory_->ProcessQueue();
  co_return false;
}

bool answer_room::Settle(std::uint64_t bytes) {
  const std::uint64_t counted = bytes <= kSmallAnswerBytes ? 0 : bytes;
  const bool fits = memory_->TryHold(*this, counted);
  if (!fits) return false;
  if (std::exchange(has_loan_, false)) memory_->is_lent = false;
  memory_->ProcessQueue();
  return true;
}

void answer_room::Cancel() {
  is_cancelled_ = true;
  if (timer_) timer_->cancel();
}

}  // namespace fireflyspar::backend_servers
