// The HTTP/1.1 messages and connections of the call path, based on Boost.Beast.
// Messages are held whole: an answer is forwarded only after its last byte has
// arrived, so that a truncated answer never reaches a caller as a complete one.
#ifndef FIREFLYSPAR_BACKEND_SERVERS_HTTP_H_
#define FIREFLYSPAR_BACKEND_SERVERS_HTTP_H_

// clang-format off: this Asio uses std::exchange without including <utility>.
#include <utility>
// clang-format on

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "backend_servers/answer_memory.h"
#include "backend_servers/sent_requests.h"
#include "base/address.h"
#include "base/result.h"

namespace fireflyspar::backend_servers {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = net::ip::tcp;

using http_request = http::request<http::string_body>;

// An answer, and the room that it holds in memory until it has been passed on.
// Without room it is small or was made here.
struct http_response : http::response<http::string_body> {
  using http::response<http::string_body>::message;

  http_response() = default;
  explicit http_response(http::response<http::string_body>&& from)
      : http::response<http::string_body>(std::move(from)) {}

  std::unique_ptr<answer_room> room;
};

inline constexpr std::size_t kMaxHeaderBytes = 16'384;
inline constexpr std::uint64_t kMaxRequestBytes = 1'048'576;

// The bytes of one connection of a caller that are held unparsed. Chunk headers
// and trailers have no other limit.
inline constexpr std::size_t kMaxBufferedBytes = 262'144;

// Returns a copy without its room. The copy is not counted in any
// answer_memory, so the caller has to limit the copies that it keeps.
inline http_response CopyWithoutRoom(const http_response& from) {
  return http_response(http::response<http::string_body>(from));
}

// A connection and the bytes read from it beyond the last message.
struct connection {
  explicit connection(const net::any_io_executor& executor)
      : stream(executor) {}
  explicit connection(tcp::socket&& socket) : stream(std::move(socket)) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer{kMaxBufferedBytes};
  sent_requests sent;
};

// Tells the code that works on a caller's request that the caller has gone
// away. Used on one worker thread only.
class cancellation {
 public:
  bool IsCancelled() const { return cancelled_; }

  // Calls the hook, if one is set. Only the first call has an effect.
  void Cancel() {
    if (std::exchange(cancelled_, true) || !hook_) return;
    hook_();
  }

  void OnCancel(std::function<void()> hook) { hook_ = std::move(hook); }

 private:
  bool cancelled_ = false;
  std::function<void()> hook_;
};

inline std::string_view ToView(beast::string_view text) {
  return {text.data(), text.size()};
}

inline beast::string_view ToBeast(std::string_view text) {
  return {text.data(), text.size()};
}

// Returns the header's value; empty when it is missing.
std::string_view HeaderOf(const http_request& message, std::string_view name);
std::string_view HeaderOf(const http_response& message, std::string_view name);

// Returns the host that the request is for, without a port.
std::string_view HostOf(const http_request& request);

// Drops the headers that concern one connection only (RFC 9110, 7.6.1).
void DropConnectionHeaders(http::fields& headers);

// Drops the headers whose names start with `prefix` in any case. `prefix` is in
// lower case.
void DropHeadersWithPrefix(http::fields& headers, std::string_view prefix);

// Makes the operating system detect a peer that has gone, is cut off or does
// not respond: within `timeout` while sent bytes are unacknowledged, and within
// seconds while nothing is sent.
void EnableDeadPeerDetection(tcp::socket& socket,
                             std::chrono::milliseconds timeout);

tcp::endpoint ToEndpoint(const base::address& address);

base::address ToAddress(const tcp::endpoint& endpoint);

// Makes the refusal of the kind, as the table of answers (base/error.h) defines
// it. `detail` is a sentence for people. The second form replaces the table's
// run state, where more is known about the request than the kind tells.
http_response MakeRefusal(base::error_kind kind, std::string_view detail);
http_response MakeRefusal(base::error_kind kind, std::string_view detail,
                          base::run_state run);

// Returns the refusal of a request that could not be read; nothing when the
// connection has ended, failed or timed out, so that nobody waits for it.
std::optional<http_response> RefusalForReadError(
    const boost::system::error_code& error);

// Removes the body from an answer that must not have one: an answer to HEAD, or
// one with status 204 or 304.
void StripDisallowedBody(bool is_head_request, http_response& response);

}  // namespace fireflyspar::backend_servers

#endif  // FIREFLYSPAR_BACKEND_SERVERS_HTTP_H_
