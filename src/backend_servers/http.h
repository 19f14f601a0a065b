// The HTTP/1.1 messages and connections of the call path, by Boost.Beast. A
// message is held whole: an answer is passed on only once its last byte has
// come, so that a cut one never reaches a caller as if it were complete.
#ifndef FIREFLYSPAR_BACKEND_SERVERS_HTTP_H_
#define FIREFLYSPAR_BACKEND_SERVERS_HTTP_H_

// clang-format off: this Asio uses std::exchange without including it.
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
#include <optional>
#include <string>
#include <string_view>

#include "base/address.h"
#include "base/result.h"

namespace fireflyspar::backend_servers {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = net::ip::tcp;

using http_request = http::request<http::string_body>;
using http_response = http::response<http::string_body>;

inline constexpr std::size_t kMaxHeaderBytes = 16'384;
inline constexpr std::uint64_t kMaxRequestBytes = 1'048'576;
inline constexpr std::uint64_t kMaxResponseBytes = 8'388'608;

// A connection and what was read from it beyond the last message.
struct connection {
  explicit connection(const net::any_io_executor& executor)
      : stream(executor) {}
  explicit connection(tcp::socket&& socket) : stream(std::move(socket)) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
};

// Passes a caller's going away down to whatever works for it. Used on one
// worker thread only.
class cancellation {
 public:
  bool IsCancelled() const { return cancelled_; }

  // Calls the hook, if one is set, the first time.
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

// The header's value; empty when it is missing.
std::string_view HeaderOf(const http_request& message, std::string_view name);
std::string_view HeaderOf(const http_response& message, std::string_view name);

// Drops the headers that concern one connection only (RFC 9110, 7.6.1).
void DropConnectionHeaders(http::fields& headers);

// Drops the headers whose names start with `prefix`, in lower case.
void DropHeadersWithPrefix(http::fields& headers, std::string_view prefix);

// Makes the system notice a peer that is gone, cut off or silent: within the
// timeout while bytes are on their way, within seconds while nothing is sent.
void WatchPeer(tcp::socket& socket, std::chrono::milliseconds timeout);

tcp::endpoint ToEndpoint(const base::address& address);

base::address ToAddress(const tcp::endpoint& endpoint);

// The refusal of the kind, as the table of answers has it. `detail` is a
// sentence for people. The second form says of the request's run what is known
// better than the table does.
http_response MakeRefusal(base::error_kind kind, std::string_view detail);
http_response MakeRefusal(base::error_kind kind, std::string_view detail,
                          base::run_state run);

// What to tell a caller whose request could not be read; nothing when there is
// nobody to tell.
std::optional<http_response> RefusalForUnread(
    const boost::system::error_code& error);

// Takes the body from an answer that goes without: one to HEAD, or with a
// status that has none.
void TrimBody(bool to_head, http_response& response);

}  // namespace fireflyspar::backend_servers

#endif  // FIREFLYSPAR_BACKEND_SERVERS_HTTP_H_
