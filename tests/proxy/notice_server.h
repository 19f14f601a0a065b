// A gate in front of a stand-in server that gives notices in its answers, on
// the loopback, for the tests of limits and of servers that leave.
#ifndef FIREFLYSPAR_TESTS_PROXY_NOTICE_SERVER_H_
#define FIREFLYSPAR_TESTS_PROXY_NOTICE_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "proxy/gate.h"
#include "proxy/listener.h"

namespace fireflyspar::proxy {

// What the server says in each answer, until it is changed.
struct notice_texts {
  std::string limit;
  std::string leaving;
};

class notice_server {
 public:
  using steady = std::chrono::steady_clock;

  explicit notice_server(notice_texts said);

  // The server on whose behalf the gate is opened.
  static decisions::server_info Info();

  // Offers one request and waits for its outcome. `told` is what its router was
  // told of the server before.
  gate_outcome Offer(std::optional<told_notices> told = std::nullopt);

  // Offers requests for `span`, one every `gap`: each third one comes from the
  // router of the same process, each fifth one is a call of a running server.
  void OfferFor(std::chrono::milliseconds span, std::chrono::milliseconds gap);

  // Returns the largest number of arrivals at the server in a span that begins
  // at `from` or later.
  std::int64_t MostArrivalsIn(std::chrono::milliseconds span,
                              steady::time_point from) const;

  const std::vector<steady::time_point>& Arrivals() const { return arrivals_; }

  void Say(notice_texts said) { said_ = std::move(said); }
  gate& Gate() { return *gate_; }

  // Replaces the gate by a new one that knows nothing, as a restart of its
  // process does; the server runs on and reports again.
  void RestartGate();

 private:
  net::awaitable<backend_servers::http_response> Serve(served_call& call);
  net::awaitable<void> OfferOne(call_offer offer, gate_outcome& outcome);

  notice_texts said_;
  net::io_context loop_;
  base::address address_;
  std::vector<steady::time_point> arrivals_;
  int offered_ = 0;
  std::uint64_t reports_ = 0;
  base::metrics metrics_;
  base::event_log log_;
  std::optional<listener> server_;
  std::optional<gate> gate_;
};

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_TESTS_PROXY_NOTICE_SERVER_H_
