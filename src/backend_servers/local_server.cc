#include "backend_servers/local_server.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <chrono>
#include <memory>
#include <utility>

#include "backend_servers/exchange.h"
#include "backend_servers/gate_state.h"
#include "backend_servers/headers.h"

namespace fireflyspar::backend_servers {
namespace {

using base::error_kind;
using base::run_state;
using decisions::admission_ending;
using decisions::admission_step;
using decisions::admission_verdict;
using std::chrono::milliseconds;

// A request that waits in the gate's queue. Its verdict may come from another
// thread; cancelling the timer then resumes the coroutine that waits for it.
struct queued_request {
  explicit queued_request(const net::any_io_executor& executor)
      : timer(executor) {}

  net::steady_timer timer;
  bool is_decided = false;
  admission_verdict verdict;
};

// Makes sure that an admitted request leaves the gate exactly once.
class scoped_admission {
 public:
  explicit scoped_admission(gate::state& local_gate)
      : local_gate_(local_gate) {}
  ~scoped_admission() { local_gate_.Leave(ending_); }
  scoped_admission(const scoped_admission&) = delete;
  scoped_admission& operator=(const scoped_admission&) = delete;

  void EndWith(const admission_ending& ending) { ending_ = ending; }

 private:
  gate::state& local_gate_;
  admission_ending ending_;
};

net::awaitable<admission_verdict> EnterGate(
    gate::state& local_gate, const net::any_io_executor& executor,
    base::instant deadline, cancellation& cancel) {
  auto queued = std::make_shared<queued_request>(executor);
  const auto on_verdict = [queued, executor](const admission_verdict& verdict) {
    net::post(executor, [queued, verdict] {
      queued->verdict = verdict;
      queued->is_decided = true;
      queued->timer.cancel();
    });
  };
  const gate::state::entry entered = local_gate.Enter(deadline, on_verdict);
  if (entered.verdict.step != admission_step::kWait) co_return entered.verdict;

  queued->timer.expires_at(net::steady_timer::time_point::max());
  cancel.OnCancel([&local_gate, queued, ticket = entered.ticket] {
    if (!local_gate.Abandon(ticket)) return;
    queued->verdict = {.step = admission_step::kRefuse,
                       .reason = error_kind::kCancelled};
    queued->is_decided = true;
    queued->timer.cancel();
  });
  boost::system::error_code ignored;
  auto token = net::redirect_error(net::use_awaitable, ignored);
  while (!queued->is_decided) co_await queued->timer.async_wait(token);
  cancel.OnCancel(nullptr);
  co_return queued->verdict;
}

milliseconds TimeLeft(base::instant deadline, base::instant now) {
  return std::max(milliseconds(0),
                  std::chrono::duration_cast<milliseconds>(deadline - now));
}

// Returns whether the server itself states that it did not run the request.
bool IsShed(const http_response& answer) {
  return answer.result_int() / 100 == 5 &&
         HeaderOf(answer, kRunHeader) == base::ToText(run_state::kNotRun);
}

dispatch_result FromExchange(exchange_result&& exchange) {
  if (exchange.end == exchange_outcome::kAnswered) {
    if (IsShed(exchange.answer)) {
      return MakeRefusedResult(error_kind::kShed, "the backend server shed it");
    }
    return {.answer = std::move(exchange.answer)};
  }
  if (!exchange.sent) {
    switch (exchange.end) {
      case exchange_outcome::kCancelled:
        return MakeRefusedResult(error_kind::kCancelled,
                                 "the caller went away");
      case exchange_outcome::kTimedOut:
        return MakeRefusedResult(error_kind::kDeadlinePassed, exchange.detail);
      default:
        return MakeRefusedResult(error_kind::kNoServer, exchange.detail);
    }
  }
  dispatch_result refused =
      MakeRefusedResult(error_kind::kServerFailed, std::move(exchange.detail));
  refused.run = run_state::kUnknown;
  return refused;
}

error_kind KindFromName(std::string_view name) {
  const auto table = base::ErrorTable();
  const auto row = std::ranges::find(table, name, &base::error_info::name);
  return row == table.end() ? error_kind::kInternal : row->kind;
}

}  // namespace

dispatch_result MakeRefusedResult(base::error_kind refusal,
                                  std::string detail) {
  return {.is_refusal = true, .refusal = refusal, .detail = std::move(detail)};
}

net::awaitable<dispatch_result> RunAtLocalServer(
    gate& local_gate, const base::clock_hook& clock, connection_pool& pool,
    const local_call& call, http_request& request, cancellation& cancel) {
  gate::state& state = local_gate.State();
  const announcement local = state.Local();
  dispatch_result result;
  if (local.server.service != call.service ||
      local.server.version != call.version) {
    // The router's view is out of date: the server beside this node has
    // changed.
    result = MakeRefusedResult(error_kind::kNoServer, "another server is here");
    co_return result;
  }
  const admission_verdict verdict =
      co_await EnterGate(state, pool.Executor(), call.deadline, cancel);
  if (verdict.step != admission_step::kRun) {
    result = MakeRefusedResult(verdict.reason, "refused at the gate");
    result.gate_load = state.Load();
    co_return result;
  }
  scoped_admission admission(state);
  const base::instant started_at = clock();
  const milliseconds time_left = TimeLeft(call.deadline, started_at);
  request.set(kDeadlineHeader, std::to_string(time_left.count()));
  exchange_options options{
      .to = local.server_address,
      .deadline = std::chrono::steady_clock::now() + time_left};
  options.may_send = [&] { return clock() < call.deadline; };
  exchange_result exchange = co_await Exchange(pool, options, request, cancel);
  result = FromExchange(std::move(exchange));
  admission.EndWith(
      {.shed = result.is_refusal && result.refusal == error_kind::kShed,
       .duration = clock() - started_at});
  // This request is still counted: it leaves the gate on return.
  result.gate_load = state.Load() - 1;
  co_return result;
}

http_response ToMessage(dispatch_result answer) {
  http_response message;
  if (answer.is_refusal) {
    message = MakeRefusal(answer.refusal, answer.detail, answer.run);
    message.set(kRefusalHeader,
                ToBeast(base::ErrorInfoFor(answer.refusal).name));
  } else {
    message = std::move(answer.answer);
    message.erase(kRefusalHeader);
  }
  message.set(kGateLoadHeader, std::to_string(answer.gate_load));
  return message;
}

dispatch_result FromMessage(http_response message) {
  dispatch_result answer{.from_gate = true};
  const std::string_view refusal = HeaderOf(message, kRefusalHeader);
  if (!refusal.empty()) {
    answer.is_refusal = true;
    answer.refusal = KindFromName(refusal);
    answer.run =
        HeaderOf(message, kRunHeader) == base::ToText(run_state::kNotRun)
            ? run_state::kNotRun
            : run_state::kUnknown;
    answer.detail = "refused by the gate";
  }
  const std::string_view gate_load = HeaderOf(message, kGateLoadHeader);
  std::from_chars(gate_load.data(), gate_load.data() + gate_load.size(),
                  answer.gate_load);
  message.erase(kGateLoadHeader);
  message.erase(kExchangeHeader);
  answer.answer = std::move(message);
  return answer;
}

}  // namespace fireflyspar::backend_servers
