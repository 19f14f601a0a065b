// HTTP/1.1 for the stand-ins: a server with a thread for each connection, and a
// client that sends one request on a connection of its own.
#ifndef FIREFLYSPAR_REVIEW_STANDINS_3_HTTP_H_
#define FIREFLYSPAR_REVIEW_STANDINS_3_HTTP_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace review {

using nlohmann::json;
using tcp = boost::asio::ip::tcp;
namespace http = boost::beast::http;
using request = http::request<http::string_body>;
using response = http::response<http::string_body>;
using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

struct address {
  std::string ip;
  std::uint16_t port = 0;

  std::string Text() const { return ip + ":" + std::to_string(port); }
  tcp::endpoint Endpoint() const;
};

// Bodies are CBOR, as deploy/wire.toml selects.
response MakeAnswer(unsigned status, const json& body);
json ReadBody(const std::string& body);

class http_server {
 public:
  // Returns the answer; nothing closes the connection without one.
  using handler = std::function<std::optional<response>(const request&)>;

  http_server(const address& at, handler handle);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  // Closes the listener and all connections.
  void Stop();

 private:
  void Accept();
  void Serve(int handle);

  handler handle_;
  boost::asio::io_context context_;
  tcp::acceptor acceptor_;
  std::mutex mutex_;
  std::condition_variable ended_;
  std::set<int> open_;
  int threads_ = 0;
  bool is_stopped_ = false;
  std::thread accepting_;
};

struct call_result {
  bool is_answered = false;
  unsigned status = 0;
  std::string stamp;  // Response-Stamp
  std::string body;
  std::string detail;
};

// Sends the request and waits for its answer for `timeout` in all.
call_result Call(const address& to, request message, milliseconds timeout);

}  // namespace review

#endif  // FIREFLYSPAR_REVIEW_STANDINS_3_HTTP_H_
