#include "proxy/gate_client.h"

#include <chrono>
#include <utility>

#include "backend_servers/exchange.h"
#include "proxy/gate.h"
#include "proxy/suspect_headers.h"

namespace fireflyspar::proxy {
namespace {

using backend_servers::exchange_options;
using backend_servers::exchange_outcome;
using backend_servers::exchange_result;
using base::error_kind;
using std::chrono::milliseconds;

constexpr milliseconds kConnectTimeout{150};
constexpr milliseconds kDeadPeerTimeout{700};

// How long after the wait limit a gate's grant of a slot is still awaited.
constexpr milliseconds kGrantTimeout{400};

// How long after the deadline another proxy's response is still awaited.
constexpr milliseconds kAnswerGrace{120};

gate_outcome FromExchange(exchange_result ended) {
  if (ended.end == exchange_outcome::kAnswered) {
    return FromMessage(std::move(ended.answer));
  }
  if (ended.end == exchange_outcome::kCancelled) {
    return Cancelled();
  }
  if (!ended.sent) {
    gate_outcome lost =
        NotRun(error_kind::kPeerUnavailable, std::move(ended.detail));
    lost.is_unreachable = true;
    return lost;
  }
  const bool is_late = ended.end == exchange_outcome::kTimedOut;
  gate_outcome lost =
      Unknown(is_late ? error_kind::kDeadlinePassed : error_kind::kServerFailed,
              std::move(ended.detail));
  lost.is_unreachable = !is_late;
  return lost;
}

}  // namespace

net::awaitable<gate_outcome> gate_client::Offer(
    const base::address& gate, const call_offer& offer,
    backend_servers::http_request& request, base::steady_instant deadline,
    backend_servers::cancellation& cancel) {
  request.set(kOfferHeader, ToText(offer));
  WriteSuspect(offer, request);
  request.keep_alive(true);
  exchange_options options;
  options.to = gate;
  options.deadline = deadline + kAnswerGrace;
  options.connect_timeout = kConnectTimeout;
  options.dead_peer_timeout = kDeadPeerTimeout;
  const bool must_be_granted =
      !offer.is_idempotent || offer.body_bytes >= kLargeBodyBytes;
  options.body_after_continue = must_be_granted && !request.body().empty();
  if (offer.wait_limit < offer.left) {
    options.continue_timeout =
        std::chrono::ceil<milliseconds>(offer.wait_limit) + kGrantTimeout;
  }
  exchange_result ended =
      co_await backend_servers::Exchange(pool_, options, request, cancel);
  gate_outcome outcome = FromExchange(std::move(ended));
  co_return outcome;
}

}  // namespace fireflyspar::proxy
