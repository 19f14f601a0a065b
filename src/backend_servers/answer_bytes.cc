#include "backend_servers/answer_bytes.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace fireflyspar::backend_servers {
namespace {

using boost::system::error_code;

// The read buffer for a head of usual length and a short body.
constexpr std::size_t kFirstBuffer = 4096;

// A read takes at least this much.
constexpr std::size_t kMinRead = 512;

// A body that takes no more is read with the first buffer and needs no room.
constexpr std::uint64_t kShortBodyBytes = kSmallAnswerBytes - kFirstBuffer;

// A head that does not fit into the first buffer: its text and its fields.
constexpr std::uint64_t kLongHeadBytes = 2 * kMaxAnswerHeadBytes;

}  // namespace

error_code answer_bytes::Parse(answer_parser& into) {
  error_code error;
  const std::size_t used = into.Put(from_.buffer.data(), error);
  from_.buffer.consume(used);
  return error;
}

net::awaitable<error_code> answer_bytes::ReadSome(answer_parser& into) {
  error_code error = http::error::need_more;
  if (from_.buffer.size() > 0) error = Parse(into);
  if (error != http::error::need_more) co_return error;
  // Cancelling the connection has no effect between two reads.
  if (room_.IsCancelled()) co_return net::error::operation_aborted;
  const std::size_t needed = from_.buffer.size() + kMinRead;
  if (needed > kMaxAnswerBuffer) co_return http::error::buffer_overflow;
  if (needed > from_.buffer.capacity()) {
    const std::size_t twice = 2 * from_.buffer.capacity();
    error = co_await GrowBuffer(std::max(kFirstBuffer, twice));
    if (error) co_return error;
  }
  const auto space =
      from_.buffer.prepare(from_.buffer.capacity() - from_.buffer.size());
  const std::size_t bytes_read = co_await from_.stream.async_read_some(
      space, net::redirect_error(net::use_awaitable, error));
  if (error == net::error::eof) {
    if (!into.HasBegun()) co_return http::error::end_of_stream;
    error = {};
    into.PutEnd(error);
    co_return error;
  }
  if (error) co_return error;
  from_.buffer.commit(bytes_read);
  error = Parse(into);
  if (error == http::error::need_more) error = {};
  co_return error;
}

net::awaitable<error_code> answer_bytes::ReadHead(answer_parser& into) {
  error_code error;
  head_bytes_ = 0;
  body_bytes_ = 0;
  while (!error && !into.IsHeadDone()) error = co_await ReadSome(into);
  co_return error;
}

net::awaitable<error_code> answer_bytes::ReadBody(answer_parser& into) {
  error_code error;
  const auto length = into.Length();
  if (length) error = co_await MakeRoomFor(*length);
  while (!error && !into.IsDone()) {
    if (!length) error = co_await GrowBody(into.Body());
    if (!error) error = co_await ReadSome(into);
  }
  if (!error) Settle(into.Body());
  co_return error;
}

net::awaitable<error_code> answer_bytes::Take(std::uint64_t buffer_bytes,
                                              std::uint64_t body_bytes) {
  const bool has_room =
      co_await room_.Grow(buffer_bytes + head_bytes_ + body_bytes, deadline_);
  co_return has_room ? error_code() : beast::error::timeout;
}

net::awaitable<error_code> answer_bytes::GrowBuffer(std::size_t capacity) {
  const std::size_t wanted = std::min(capacity, kMaxAnswerBuffer);
  if (wanted <= from_.buffer.capacity()) co_return error_code();
  const bool is_in_head = body_bytes_ == 0;
  if (is_in_head && wanted > kFirstBuffer) head_bytes_ = kLongHeadBytes;
  const error_code error = co_await Take(wanted, body_bytes_);
  if (!error) from_.buffer.reserve(wanted);
  co_return error;
}

net::awaitable<error_code> answer_bytes::MakeRoomFor(
    std::uint64_t body_length) {
  body_bytes_ = body_length;
  const std::size_t buffer_bytes =
      body_length <= kShortBodyBytes
          ? from_.buffer.capacity()
          : std::max(from_.buffer.capacity(), kMaxAnswerBuffer);
  const error_code error = co_await Take(buffer_bytes, body_length);
  if (!error) from_.buffer.reserve(buffer_bytes);
  co_return error;
}

net::awaitable<error_code> answer_bytes::GrowBody(std::string& body) {
  error_code error;
  if (body.size() > kShortBodyBytes) {
    error = co_await GrowBuffer(kMaxAnswerBuffer);
    if (error) co_return error;
  }
  const std::uint64_t needed = body.size() + from_.buffer.capacity();
  if (needed <= body.capacity()) co_return error;
  const std::uint64_t most = room_.MaxBodyBytes() + kMaxAnswerBuffer;
  std::uint64_t wanted =
      std::min(most, std::max<std::uint64_t>(needed, 2 * body.capacity()));
  // Both the old and the new copy are there for a moment.
  error = co_await Take(from_.buffer.capacity(), body.capacity() + wanted);
  if (error) co_return error;
  if (room_.HasLoan()) wanted = most;
  body.reserve(wanted);
  body_bytes_ = body.capacity();
  room_.Settle(from_.buffer.capacity() + head_bytes_ + body_bytes_);
  co_return error;
}

void answer_bytes::Settle(std::string& body) {
  if (from_.buffer.size() == 0 && from_.buffer.capacity() > kFirstBuffer) {
    from_.buffer.shrink_to_fit();
  }
  const bool had_loan = room_.HasLoan();
  body_bytes_ = had_loan ? body.size() : body.capacity();
  const bool is_settled =
      room_.Settle(from_.buffer.capacity() + head_bytes_ + body_bytes_);
  if (is_settled && had_loan) body.shrink_to_fit();
}

}  // namespace fireflyspar::backend_servers
