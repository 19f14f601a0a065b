// A small blocking HTTP/1.1 server and client for the stand-ins. Each accepted
// connection has a thread of its own.
#ifndef FIREFLYSPAR_REVIEW_STANDINS_HTTP_H_
#define FIREFLYSPAR_REVIEW_STANDINS_HTTP_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fireflyspar::review {

using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

struct endpoint {
  std::string ip;
  std::uint16_t port = 0;
  std::string ToText() const { return ip + ":" + std::to_string(port); }
};

struct message {
  std::string first_line;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  // Returns the header's value; empty if it is missing.
  std::string Header(std::string_view name) const;
  // The parts of the first line of a request.
  std::string Method() const;
  std::string Target() const;
  // The status in the first line of a response; 0 if it has none.
  int Status() const;
};

// Returns the message as bytes, with its Content-Length.
std::string ToBytes(const message& from);

message MakeResponse(int status, std::string body = {});

// An open connection. Writes of several threads do not mix.
class connection {
 public:
  explicit connection(int handle) : handle_(handle) {}
  ~connection();
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  // Reads a request or a response; nothing at the end of the connection or at
  // the deadline.
  std::optional<message> Read(steady::time_point until);
  // Returns whether all bytes were taken by the system.
  bool Write(std::string_view bytes);
  // Ends the connection; a Read that waits returns.
  void Shut();
  // Ends the connection so that the peer gets a reset.
  void Reset();
  bool IsOpen() const { return !is_shut_; }

 private:
  bool Fill(steady::time_point until);

  int handle_;
  std::string buffer_;
  std::mutex write_mutex_;
  std::atomic<bool> is_shut_ = false;
};

using connection_ptr = std::shared_ptr<connection>;

// Returns null if the peer can't be reached in time.
connection_ptr Connect(const endpoint& to, milliseconds timeout);

// Sends the request on a new connection and returns the response, if one came.
std::optional<message> Ask(const endpoint& to, const message& request,
                           milliseconds timeout);

// Accepts connections until the process ends. `serve` runs in a thread for each
// connection. Throws if it can't listen.
void Listen(const endpoint& at, std::function<void(connection_ptr)> serve);

}  // namespace fireflyspar::review

#endif  // FIREFLYSPAR_REVIEW_STANDINS_HTTP_H_
