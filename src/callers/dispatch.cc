#include "callers/dispatch.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include "backend_servers/exchange.h"
#include "backend_servers/headers.h"
#include "decisions/routing.h"

namespace fireflyspar::callers {
namespace {

using backend_servers::dispatch_result;
using backend_servers::exchange_outcome;
using backend_servers::exchange_result;
using backend_servers::MakeRefusedResult;
using base::error_kind;
using base::run_state;
using decisions::member_record;
using decisions::server_candidate;
using std::chrono::milliseconds;

constexpr unsigned kServerErrorClass = 5;

double DefaultMovedShare(const decisions::move& move) {
  return move.state == decisions::move_state::kDone ? 1.0 : 0.0;
}

dispatch_result FromGateExchange(exchange_result&& exchange) {
  if (exchange.end == exchange_outcome::kAnswered) {
    return backend_servers::FromMessage(std::move(exchange.answer));
  }
  dispatch_result refused =
      MakeRefusedResult(error_kind::kNoServer, std::move(exchange.detail));
  if (exchange.sent) {
    refused.refusal = error_kind::kServerFailed;
    refused.run = run_state::kUnknown;
  } else if (exchange.end == exchange_outcome::kTimedOut) {
    refused.refusal = error_kind::kDeadlinePassed;
  }
  if (exchange.end == exchange_outcome::kCancelled) {
    refused.refusal = error_kind::kCancelled;
  }
  return refused;
}

// Returns whether the call was refused because the server is full or leaving,
// or because the call's deadline passed. None of these is a sign of a bad
// version or a bad connection.
bool IsFullOrLeaving(const dispatch_result& answer) {
  return answer.is_refusal && (answer.refusal == error_kind::kShed ||
                               answer.refusal == error_kind::kDraining ||
                               answer.refusal == error_kind::kDeadlinePassed);
}

bool IsFailed(const dispatch_result& answer) {
  if (answer.is_refusal) return answer.refusal == error_kind::kServerFailed;
  return answer.answer.result_int() / 100 == kServerErrorClass;
}

decisions::call_ending EndingOf(const dispatch_result& answer) {
  using decisions::call_ending;
  if (answer.is_refusal && answer.refusal == error_kind::kCancelled) {
    return call_ending::kCancelled;
  }
  if (IsFullOrLeaving(answer)) return call_ending::kShed;
  const bool failed = answer.is_refusal || IsFailed(answer);
  return failed ? call_ending::kFailed : call_ending::kGood;
}

// Returns whether a refused call may be sent to another server. A call that
// certainly did not run may be sent again; a call that may have run, only if it
// may be repeated. No call is sent again if it was refused because its deadline
// passed or its caller went away.
bool IsSafeToRetry(const routed_call& call, const dispatch_result& answer) {
  if (!answer.is_refusal || answer.refusal == error_kind::kCancelled) {
    return false;
  }
  if (answer.refusal == error_kind::kDeadlinePassed) return false;
  return answer.IsNotRun() || !call.at_most_once;
}

}  // namespace

dispatcher::selected_server dispatcher::ChooseServer(
    const routed_call& call, const std::vector<std::string>& tried) {
  const auto share = options_.moved_share
                         ? options_.moved_share
                         : decisions::moved_share_hook(DefaultMovedShare);
  const decisions::fleet_view& view = *call.view;
  selected_server target;
  const double uniform_sample = base::ToUnitInterval(options_.random());
  target.version = decisions::ChooseVersion(*call.service, view.moves, share,
                                            uniform_sample);
  const indexed_view_ptr indexed = IndexOf(call.view);
  const auto usable =
      indexed->servers.Usable(call.service->name, target.version);
  std::vector<server_candidate> candidates;
  candidates.reserve(usable.size());
  std::ranges::transform(
      usable, std::back_inserter(candidates), [&](const member_record* each) {
        return server_candidate{
            .id = each->node_id,
            .is_near = each->data_centre == options_.data_centre,
            .slots = each->server.slots};
      });
  const auto chosen = traffic_.ChooseServer(candidates, tried);
  if (chosen) target.member = usable[*chosen];
  return target;
}

dispatcher::indexed_view_ptr dispatcher::IndexOf(
    const decisions::fleet_view_ptr& view) {
  {
    const std::lock_guard lock(index_mutex_);
    if (indexed_ && indexed_->view == view) return indexed_;
  }
  // Built without holding the lock. Two threads may build the same index at the
  // same time, which is harmless.
  auto built = std::make_shared<const indexed_view>(view);
  const std::lock_guard lock(index_mutex_);
  indexed_ = built;
  return built;
}

net::awaitable<dispatch_result> dispatcher::Dispatch(routed_call& call) {
  dispatch_result answer =
      MakeRefusedResult(error_kind::kNoServer, "no backend server is usable");
  std::vector<std::string> tried;
  traffic_.OnFirstAttempt(call.service->name);
  const int max_attempts =
      call.may_retry ? std::max(1, call.service->retries.max_attempts) : 1;
  for (int attempt = 0; attempt < max_attempts; ++attempt) {
    const bool is_retry = attempt > 0;
    if (is_retry && !IsSafeToRetry(call, answer)) break;
    if (options_.clock() >= call.deadline) {
      if (!is_retry) {
        answer = MakeRefusedResult(error_kind::kDeadlinePassed,
                                   "the deadline passed before it was sent");
      }
      break;
    }
    if (is_retry && !traffic_.TryTakeRetry(*call.service)) break;
    const selected_server target = ChooseServer(call, tried);
    if (target.member == nullptr) break;
    tried.push_back(target.member->node_id);
    answer = co_await SendAttempt(call, target, attempt);
  }
  if (answer.is_refusal && call.at_most_once && !answer.IsNotRun() &&
      answer.refusal != error_kind::kCancelled) {
    answer.refusal = error_kind::kOutcomeUnknown;
  }
  co_return answer;
}

net::awaitable<dispatch_result> dispatcher::SendAttempt(
    routed_call& call, const selected_server& target, int attempt) {
  const base::instant started_at = options_.clock();
  call.request.set(backend_servers::kRequestIdHeader, call.request_id);
  if (attempt > 0 || !call.may_retry) {
    call.request.set(backend_servers::kAttemptHeader, "1");
  }
  dispatch_result answer;
  if (target.member->node_id == options_.node_id && options_.gate != nullptr) {
    const backend_servers::local_call local{.service = call.service->name,
                                            .version = target.version,
                                            .deadline = call.deadline};
    answer = co_await backend_servers::RunAtLocalServer(
        *options_.gate, options_.clock, call.assigned_worker->connections,
        local, call.request, *call.cancel);
  } else {
    call.request.set(backend_servers::kServiceHeader, call.service->name);
    call.request.set(backend_servers::kVersionHeader, target.version);
    answer = co_await SendToNode(call, target.member->gate_address);
  }
  Record(call, target, answer, options_.clock() - started_at);
  co_return answer;
}

net::awaitable<dispatch_result> dispatcher::SendToNode(
    routed_call& call, const base::address& to) {
  const auto time_left =
      std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(
                                    call.deadline - options_.clock()));
  auto& request = call.request;
  request.set(backend_servers::kDeadlineHeader,
              std::to_string(time_left.count()));
  request.set(backend_servers::kExchangeHeader,
              std::to_string(options_.random()));
  backend_servers::exchange_options options{
      .to = to,
      .deadline = std::chrono::steady_clock::now() + time_left,
      .check_exchange_id = true};
  options.may_send = [this, deadline = call.deadline] {
    return options_.clock() < deadline;
  };
  exchange_result exchange = co_await backend_servers::Exchange(
      call.assigned_worker->connections, options, request, *call.cancel);
  dispatch_result answer = FromGateExchange(std::move(exchange));
  co_return answer;
}

void dispatcher::Record(const routed_call& call, const selected_server& target,
                        const dispatch_result& answer, base::duration latency) {
  const decisions::call_ending ending = EndingOf(answer);
  const bool has_gate_load = !answer.is_refusal || answer.gate_load > 0;
  traffic_.OnEnd(
      target.member->node_id, ending, latency,
      has_gate_load ? std::optional<int>(answer.gate_load) : std::nullopt);
  // A call that did not run, or whose caller went away, says nothing about the
  // version.
  const bool was_run = !answer.IsNotRun();
  if (!was_run || ending == decisions::call_ending::kCancelled) return;
  if (!options_.on_outcome) return;
  options_.on_outcome({.service = call.service->name,
                       .route = call.route,
                       .version = target.version,
                       .failed = IsFailed(answer),
                       .latency = latency});
}

}  // namespace fireflyspar::callers
