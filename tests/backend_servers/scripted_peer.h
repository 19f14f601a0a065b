// A server that answers each request as a script says, and one client of it:
// for the tests of servers that send what is no answer.
#ifndef FIREFLYSPAR_TESTS_BACKEND_SERVERS_SCRIPTED_PEER_H_
#define FIREFLYSPAR_TESTS_BACKEND_SERVERS_SCRIPTED_PEER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "backend_servers/exchange.h"

namespace fireflyspar::backend_servers {

// What the peer has read of a request, and the connection that it came on.
struct peer_request {
  std::string id;
  std::string target;
  bool expects_continue = false;  // Its body was not sent yet.
  std::shared_ptr<tcp::socket> from;
};

class scripted_peer {
 public:
  // Writes the answer to the request, and more.
  using script =
      std::function<net::awaitable<void>(tcp::socket&, const peer_request&)>;

  scripted_peer(net::io_context& loop, script answer);

  base::address Address() const {
    return {.ip = "127.0.0.1", .port = acceptor_.local_endpoint().port()};
  }
  int Connections() const { return connections_; }

  // Accepts no more connections.
  void Close() { acceptor_.close(); }

 private:
  net::awaitable<void> Accept();
  net::awaitable<void> Serve(std::shared_ptr<tcp::socket> socket);

  tcp::acceptor acceptor_;
  script answer_;
  int connections_ = 0;
};

// Writes the bytes to the socket.
net::awaitable<void> Write(tcp::socket& socket, std::string bytes);

// A client of one peer, with a pool of connections.
class peer_client {
 public:
  explicit peer_client(scripted_peer::script answer,
                       const answer_memory_options& answers = {})
      : peer_(loop_, std::move(answer)) {
    pool_.emplace(loop_.get_executor(), answers);
  }

  // Ends all connections and waits for the peer to notice.
  ~peer_client();
  peer_client(const peer_client&) = delete;
  peer_client& operator=(const peer_client&) = delete;

  // Sends a request with this id and waits for what becomes of it.
  exchange_result Send(const std::string& id);

  // The same with a body, which is sent when the peer has asked for it.
  exchange_result Upload(const std::string& id, const std::string& body);

  // Sends this many requests at once and waits until all have ended. Each goes
  // to the hook as it ends.
  void SendAtOnce(int count,
                  const std::function<void(exchange_result)>& on_end);

  // Sends a request and cancels it after this time.
  exchange_result SendAndCancel(const std::string& id,
                                std::chrono::milliseconds after);

  // Sends a request that goes on until this client ends, and waits until its
  // answer holds room.
  void BeginSlow(const std::string& target);

  // Has the client take the peer for a process of its own kind, which names no
  // request in its answers and always sends their lengths.
  void ExpectProxy() { is_proxy_ = true; }

  // Sets how long each request has from now on.
  void SetDeadline(std::chrono::milliseconds span) { deadline_ = span; }

  void RunFor(std::chrono::milliseconds span) { loop_.run_for(span); }
  int Connections() const { return peer_.Connections(); }

  // Returns the memory that its answers take.
  const answer_memory& Answers() const { return pool_->Answers(); }

 private:
  exchange_result Run(http_request request, bool body_after_continue);
  net::awaitable<exchange_result> Exchange(http_request request,
                                           bool body_after_continue,
                                           cancellation& cancel);

  net::io_context loop_;
  scripted_peer peer_;
  std::optional<connection_pool> pool_;
  bool is_proxy_ = false;
  std::chrono::milliseconds deadline_{20'000};
  cancellation never_;
  cancellation slow_;
};

}  // namespace fireflyspar::backend_servers

#endif  // FIREFLYSPAR_TESTS_BACKEND_SERVERS_SCRIPTED_PEER_H_
