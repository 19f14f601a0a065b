// A small blocking HTTP/1.1 client and server for stand-ins. Messages have a
// Content-Length; one connection takes one thread.
#ifndef FIREFLYSPAR_REVIEW_STANDINS_2_HTTP_H_
#define FIREFLYSPAR_REVIEW_STANDINS_2_HTTP_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace fireflyspar::review {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

struct endpoint {
  std::string ip;
  int port = 0;

  std::string Text() const { return ip + ":" + std::to_string(port); }
};

// A request has a method and a target, an answer has a status.
struct http_message {
  std::string method;
  std::string target;
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  // Returns the header's value; empty if there is none.
  std::string Header(std::string_view name) const;
  std::string Encode() const;
};

// Returns the part of the target before the query.
std::string PathOf(const http_message& request);
// Returns a parameter of the query; nothing if it is missing.
std::optional<std::string> ParameterOf(const http_message& request,
                                       std::string_view name);

class http_connection {
 public:
  explicit http_connection(int handle) : handle_(handle) {}
  ~http_connection();
  http_connection(const http_connection&) = delete;
  http_connection& operator=(const http_connection&) = delete;

  // Returns null if the peer can't be reached.
  static std::unique_ptr<http_connection> Open(const endpoint& peer,
                                               milliseconds timeout);

  bool Write(std::string_view bytes);
  // Returns the next message; nothing if the connection ended, or the time
  // passed, before its last byte. Interim answers are passed over.
  std::optional<http_message> Read(steady::time_point deadline);
  // Ends all reads and writes, also those of other threads.
  void ShutDown() const;

 private:
  bool Fill(steady::time_point deadline);

  int handle_;
  std::string buffer_;
};

// Sends the request on a connection of its own. Returns nothing if there is no
// whole answer by the deadline.
std::optional<http_message> Call(const endpoint& peer,
                                 const http_message& request,
                                 milliseconds timeout);

// Returns the answer, or nothing to close the connection.
using http_handler =
    std::function<std::optional<http_message>(const http_message& request)>;

class http_server {
 public:
  http_server(endpoint address, http_handler handler)
      : address_(std::move(address)), handler_(std::move(handler)) {}
  ~http_server() { Stop(); }
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  bool Start();
  // Resets the connections and waits until the handlers have returned.
  void Stop();

 private:
  void Accept();
  void Serve(const std::shared_ptr<http_connection>& client);

  endpoint address_;
  http_handler handler_;
  int listener_ = -1;
  std::atomic<bool> is_stopped_ = false;
  std::thread acceptor_;
  std::mutex mutex_;  // Protects the members below.
  std::set<std::shared_ptr<http_connection>> clients_;
  std::vector<std::thread> threads_;
};

// Returns whether nothing listens at the address.
bool IsFree(const endpoint& address);

}  // namespace fireflyspar::review

#endif  // FIREFLYSPAR_REVIEW_STANDINS_2_HTTP_H_
