#include "proxy/gate_reachability.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>

#include "backend_servers/exchange.h"
#include "base/retry_delay.h"

namespace fireflyspar::proxy {
namespace {

using std::chrono::milliseconds;

// Greatest delay before an attempt to connect to an unreachable gate: before
// the first attempt, and before any later one.
constexpr milliseconds kFirstPause{300};
constexpr milliseconds kLongestPause{2400};

constexpr milliseconds kConnectTimeout{150};

}  // namespace

void gate_reachability::OnUnreachable(const decisions::server_entry& gate,
                                      base::steady_instant now) {
  const bool is_far = gate.data_centre != options_.data_centre;
  const bool was_cut_off = data_centres_.IsCutOff(gate.data_centre, now);
  if (is_far) data_centres_.OnUnreachable(gate.data_centre, gate.instance, now);
  if (!was_cut_off && data_centres_.IsCutOff(gate.data_centre, now)) {
    options_.log->Write(
        base::event_priority::kStateChange, "data_centre_cut_off",
        {{"data_centre", gate.data_centre}, {"last_gate", gate.instance}});
  }
  const bool is_first = probed_instances_.insert(gate.instance).second;
  if (!is_first) return;
  net::co_spawn(options_.executor, ProbeUntilReachable(gate), net::detached);
}

bool gate_reachability::IsKnown(const decisions::server_entry& gate) const {
  const auto known = options_.directory->Entries().find(gate.instance);
  return known != options_.directory->Entries().end() &&
         known->second.gate == gate.gate;
}

net::awaitable<void> gate_reachability::ProbeUntilReachable(
    decisions::server_entry gate) {
  net::steady_timer timer(options_.executor);
  bool is_reached = false;
  for (int failures = 0; !is_reached; ++failures) {
    timer.expires_after(base::RetryDelay(failures, kFirstPause, kLongestPause,
                                         options_.random()));
    boost::system::error_code ignored;
    co_await timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
    if (!IsKnown(gate)) break;
    is_reached = co_await backend_servers::CanConnect(
        options_.executor, gate.gate, kConnectTimeout);
  }
  probed_instances_.erase(gate.instance);
  if (!is_reached) co_return;
  data_centres_.OnReachable(gate.data_centre);
  options_.on_reached(gate.instance);
}

}  // namespace fireflyspar::proxy
