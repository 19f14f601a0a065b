// Limits the memory that the answers of one process take together, from their
// first bytes until they have been passed on, whatever peers send. An answer
// for which there is no room is not read on; its peer then waits.
//
// A part of the memory, enough for the longest answer, is lent to one answer at
// a time. So an answer that has begun can always end: those that wait for room
// in the rest can't block each other. Answers that wait get room in the order
// in which they came.
//
// Used on one thread only.
#ifndef FIREFLYSPAR_BACKEND_SERVERS_ANSWER_MEMORY_H_
#define FIREFLYSPAR_BACKEND_SERVERS_ANSWER_MEMORY_H_

// clang-format off: this Asio uses std::exchange without including <utility>.
#include <utility>
// clang-format on

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>

namespace fireflyspar::backend_servers {

namespace net = boost::asio;

// The longest body of an answer.
inline constexpr std::uint64_t kMaxResponseBytes = 8'388'608;

// The most that is read from a connection at a time, and the longest chunk
// header or trailers.
inline constexpr std::size_t kMaxAnswerBuffer = 65'536;

// An answer that takes no more, with its read buffer, needs no room.
inline constexpr std::uint64_t kSmallAnswerBytes = 16'384;

struct answer_memory_options {
  // All answers together; at least the longest one is always let in.
  std::uint64_t max_bytes = 12'582'912;
  std::uint64_t max_body_bytes = kMaxResponseBytes;
};

// For peers whose answers say little.
inline constexpr answer_memory_options kShortAnswers{.max_bytes = 524'288,
                                                     .max_body_bytes = 65'536};

class answer_room;

class answer_memory {
 public:
  explicit answer_memory(const answer_memory_options& options);

  // Returns the bytes that answers hold now.
  std::uint64_t UsedBytes() const;

  // Returns the upper bound of UsedBytes().
  std::uint64_t MaxBytes() const;

  std::uint64_t MaxBodyBytes() const;

 private:
  friend class answer_room;
  struct state;

  // Answers may outlive the connections that they were read from.
  std::shared_ptr<state> state_;
};

// The room that one answer holds, for its lifetime.
class answer_room {
 public:
  answer_room(const answer_memory& memory, net::any_io_executor executor);
  ~answer_room();
  answer_room(const answer_room&) = delete;
  answer_room& operator=(const answer_room&) = delete;

  std::uint64_t MaxBodyBytes() const;

  // Waits until this answer may take `bytes` in all. Returns false if
  // `deadline` passes or Cancel is called before.
  net::awaitable<bool> Grow(std::uint64_t bytes,
                            std::chrono::steady_clock::time_point deadline);

  // Whether the part for one answer is lent to this one: besides what it had
  // before, it may take as much as the longest answer needs.
  bool HasLoan() const { return has_loan_; }

  bool IsHeld() const { return held_ > 0 || has_loan_; }

  // Must be called when the answer takes no more than `bytes` in all. Returns
  // whether all else is free for others now: a loan is kept if there is no room
  // for the answer otherwise.
  bool Settle(std::uint64_t bytes);

  // Ends a wait for room, and lets none begin. Reading must not go on then.
  void Cancel();
  bool IsCancelled() const { return is_cancelled_; }

 private:
  friend struct answer_memory::state;

  std::shared_ptr<answer_memory::state> memory_;
  net::any_io_executor executor_;
  std::optional<net::steady_timer> timer_;  // Set while it waits.
  std::uint64_t held_ = 0;                  // In the part for all.
  std::uint64_t wanted_ = 0;
  bool has_loan_ = false;
  bool is_cancelled_ = false;
};

}  // namespace fireflyspar::backend_servers

#endif  // FIREFLYSPAR_BACKEND_SERVERS_ANSWER_MEMORY_H_
