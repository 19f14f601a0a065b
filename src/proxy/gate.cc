#include "proxy/gate.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <cmath>
#include <utility>

#include "backend_servers/exchange.h"

namespace fireflyspar::proxy {
namespace {

using backend_servers::exchange_options;
using backend_servers::exchange_outcome;
using backend_servers::exchange_result;
using backend_servers::HeaderOf;
using base::error_kind;
using base::event_priority;
using decisions::admission_choice;
using decisions::admission_request;
using decisions::admission_result;
using decisions::server_condition;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

// A server that has not reported for this long is considered gone.
constexpr milliseconds kHeartbeatTimeout{5000};

// The wait that refusals give while the server is leaving: routers avoid the
// gate for this long. They learn of its successor on this instance from that
// server's entry and can then offer it requests at once.
constexpr milliseconds kLeavingRetryAfter{10'000};

// How long after the deadline a response that the server sends at the last
// moment is still awaited.
constexpr milliseconds kAnswerGrace{60};

constexpr milliseconds kConnectTimeout{1000};

// A request that may not be retried reuses only a connection that was in use
// this recently. On a connection that the server has just closed for idleness,
// the request's outcome would be unknown.
constexpr milliseconds kMaxIdleForUnsafe{1000};

// Exponential smoothing of the server's relative latency and of its failure
// rate: the weight of one outcome.
constexpr double kLatencyRatioWeight = 0.125;
constexpr double kFailureWeight = 0.125;
constexpr double kMaxLatencyRatio = 16;
constexpr double kMinLatencyRatio = 0.1;
constexpr double kColdLatencyRatio = 2;

// Half-life of the failure rate while no outcomes arrive.
constexpr milliseconds kFailureHalfLife{2000};

// A response that takes longer than this many typical times is slow.
constexpr int kSlowMultiple = 3;

// Returns whether the outcome counts as a failure of the server. Running out of
// the request's time (a timeout here or the server's own 504) does not: it is
// measured as slowness.
bool IsServerFailure(const gate_outcome& outcome) {
  if (outcome.end == gate_outcome_kind::kUnknown) {
    return outcome.reason == error_kind::kServerFailed;
  }
  constexpr unsigned kFirstServerErrorStatus = 500;
  constexpr unsigned kGatewayTimeout = 504;
  const unsigned status = outcome.answer.result_int();
  return outcome.end == gate_outcome_kind::kAnswered &&
         status >= kFirstServerErrorStatus && status != kGatewayTimeout;
}

base::duration ElapsedSince(base::steady_instant begun) {
  return std::chrono::duration_cast<base::duration>(steady::now() - begun);
}

}  // namespace

gate::gate(gate_options options)
    : options_(std::move(options)), pool_(options_.executor) {}

bool gate::OnHeartbeat(const server_heartbeat& heartbeat) {
  if (server_ && heartbeat.server.start_ms < server_->start_ms) return false;
  const bool is_same_start = server_ && heartbeat.server.id == server_->id &&
                             heartbeat.server.start_ms == server_->start_ms;
  if (is_same_start && heartbeat.sequence <= sequence_) return false;
  const auto now = steady::now();
  if (!is_same_start) {
    is_leaving_ = HasLeftBefore(heartbeat.server);
    is_misaddressed_ = false;
    counts_.clear();
    failure_rate_ = 0;
    latency_ratio_ = heartbeat.cold_left.count() > 0 ? kColdLatencyRatio : 1;
    pool_.CloseIdle(address_);
  }
  sequence_ = heartbeat.sequence;
  address_ = heartbeat.address;
  last_heartbeat_at_ = now;
  cold_until_ = now + heartbeat.cold_left;
  const std::optional<decisions::server_info> before = server_;
  server_ = heartbeat.server;
  if (is_leaving_) server_->condition = server_condition::kDraining;
  UpdateAdmission();
  if (server_ != before) {
    options_.log->Write(
        event_priority::kStateChange, "server_changed",
        {{"server", server_->id},
         {"service", server_->service},
         {"version", server_->version},
         {"condition", server_->condition == server_condition::kServing
                           ? "serving"
                           : "draining"},
         {"sequence", std::to_string(sequence_)}});
    options_.on_change(server_);
  }
  return true;
}

// Returns whether a notice to leave arrived before the first heartbeat of this
// start of the server. A restarted server may keep its id, but a notice to
// leave that came before its start does not apply to it.
bool gate::HasLeftBefore(const decisions::server_info& server) {
  const auto leave = early_leaves_.find(server.id);
  if (leave == early_leaves_.end()) return false;
  const bool is_new_start = server.start_ms > leave->second;
  if (is_new_start) early_leaves_.erase(leave);
  return !is_new_start;
}

void gate::OnLeave(std::string_view server_id) {
  if (!server_ || server_->id != server_id) {
    const auto now = options_.clock().time_since_epoch();
    early_leaves_[std::string(server_id)] =
        std::chrono::duration_cast<milliseconds>(now).count();
    options_.log->Write(event_priority::kStateChange, "server_leaving",
                        {{"server", std::string(server_id)}});
    return;
  }
  is_leaving_ = true;
  if (server_->condition == server_condition::kDraining) return;
  server_->condition = server_condition::kDraining;
  UpdateAdmission();
  options_.log->Write(event_priority::kStateChange, "server_leaving",
                      {{"server", server_->id}});
  options_.on_change(server_);
}

void gate::UpdateAdmission() {
  const bool is_open = server_ && !is_closed_ && !is_misaddressed_ &&
                       server_->condition == server_condition::kServing;
  if (is_open) {
    admission_.Open(server_->slots);
  } else {
    const bool is_draining = is_closed_ || (server_ && !is_misaddressed_);
    admission_.Close(is_draining ? error_kind::kDraining
                                 : error_kind::kNoServer);
  }
  NotifyWaiters();
}

void gate::Tick() {
  if (server_ && steady::now() - last_heartbeat_at_ > kHeartbeatTimeout) {
    options_.log->Write(
        event_priority::kStateChange, "server_silent",
        {{"server", server_->id},
         {"silent_ms", std::to_string(kHeartbeatTimeout.count())}});
    server_.reset();
    options_.on_change(server_);
    UpdateAdmission();
  }
  NotifyWaiters();
}

void gate::Close() {
  is_closed_ = true;
  UpdateAdmission();
}

void gate::NotifyWaiters() {
  for (const auto& end : admission_.ProcessQueue(steady::now())) {
    const auto found = waiters_.find(end.ticket);
    if (found == waiters_.end()) continue;
    found->second->result = end.result;
    found->second->timer.cancel();
  }
}

net::awaitable<admission_result> gate::WaitForAdmission(
    admission_request pending, backend_servers::cancellation& cancel) {
  waiter waiting(options_.executor);
  waiters_[pending.ticket] = &waiting;
  waiting.timer.expires_at(pending.deadline);
  cancel.OnCancel([&waiting] { waiting.timer.cancel(); });
  boost::system::error_code ignored;
  if (!cancel.IsCancelled()) {
    co_await waiting.timer.async_wait(
        net::redirect_error(net::use_awaitable, ignored));
  }
  cancel.OnCancel(nullptr);
  waiters_.erase(pending.ticket);
  if (waiting.result) co_return *waiting.result;
  admission_.Abandon(pending.ticket);
  admission_result abandoned;
  abandoned.choice = admission_choice::kRefuse;
  abandoned.reason = cancel.IsCancelled() ? error_kind::kCancelled
                                          : error_kind::kDeadlinePassed;
  co_return abandoned;
}

net::awaitable<gate_outcome> gate::Run(
    const call_offer& offer, backend_servers::http_request& request,
    const std::function<net::awaitable<bool>()>& read_body,
    backend_servers::cancellation& cancel) {
  const auto begun = steady::now();
  gate_outcome outcome;
  const bool matches_offer = server_ && server_->service == offer.service &&
                             server_->version == offer.version;
  if (!matches_offer) {
    outcome = NotRun(error_kind::kNoServer, "another server stands here");
    LogOutcome(offer, request, outcome, {});
    co_return outcome;
  }
  const auto current_latency_ratio =
      IsCold(begun) ? std::max(latency_ratio_, kColdLatencyRatio)
                    : latency_ratio_;
  const admission_request pending{
      .ticket = ++last_ticket_,
      .is_nested_call = offer.is_nested_call,
      .priority = offer.priority,
      .typical_duration = base::duration(static_cast<std::int64_t>(
          static_cast<double>(offer.typical_duration.count()) *
          current_latency_ratio)),
      .wait_limit = offer.wait_limit,
      .objective = begun + offer.time_to_objective,
      .deadline = begun + offer.left};
  admission_result admitted = admission_.Enter(pending, begun);
  if (admitted.choice == admission_choice::kWait) {
    admitted = co_await WaitForAdmission(pending, cancel);
  }
  const base::duration waited = ElapsedSince(begun);
  if (admitted.choice == admission_choice::kRefuse) {
    outcome = NotRun(admitted.reason, "refused by the gate");
    outcome.wait = admitted.wait;
    const bool server_leaves =
        admitted.reason == error_kind::kDraining && !is_closed_;
    if (server_leaves) outcome.wait = kLeavingRetryAfter;
    if (admitted.reason == error_kind::kCancelled) {
      outcome.end = gate_outcome_kind::kCancelled;
    }
    outcome.status = Status(offer.route, {});
    LogOutcome(offer, request, outcome, waited);
    co_return outcome;
  }
  bool has_whole_request = !cancel.IsCancelled();
  if (has_whole_request && read_body) has_whole_request = co_await read_body();
  if (!has_whole_request) {
    admission_.Leave({});
    NotifyWaiters();
    outcome = Cancelled();
    LogOutcome(offer, request, outcome, waited);
    co_return outcome;
  }
  const auto sent = steady::now();
  outcome = co_await SendAndTrack(offer, request, pending.deadline, cancel);
  const base::duration took = ElapsedSince(sent);
  admission_.Leave(took);
  RecordOutcome(offer, outcome, took);
  NotifyWaiters();
  outcome.status = Status(offer.route, took);
  LogOutcome(offer, request, outcome, waited);
  co_return outcome;
}

net::awaitable<gate_outcome> gate::SendAndTrack(
    const call_offer& offer, backend_servers::http_request& request,
    base::steady_instant deadline, backend_servers::cancellation& cancel) {
  const auto running =
      running_.emplace(HeaderOf(request, options_.headers.request_id));
  gate_outcome outcome = co_await Send(offer, request, deadline, cancel);
  running_.erase(running);
  co_return outcome;
}

net::awaitable<gate_outcome> gate::Send(const call_offer& offer,
                                        backend_servers::http_request& request,
                                        base::steady_instant deadline,
                                        backend_servers::cancellation& cancel) {
  const auto left =
      std::chrono::duration_cast<milliseconds>(deadline - steady::now());
  if (left.count() <= 0) {
    co_return NotRun(error_kind::kDeadlinePassed, "no time is left");
  }
  const header_names& names = options_.headers;
  request.set(names.deadline_ms, std::to_string(left.count()));
  request.set(names.expected_server, server_->id);
  request.set(names.caller_service, offer.caller_service);
  request.keep_alive(true);
  exchange_options options;
  options.to = address_;
  options.deadline = deadline + kAnswerGrace;
  options.connect_timeout = kConnectTimeout;
  if (!offer.is_idempotent) options.max_idle = kMaxIdleForUnsafe;
  options.correlation_header = names.request_id;
  options.accepts_close_delimited = true;
  exchange_result ended =
      co_await backend_servers::Exchange(pool_, options, request, cancel);
  switch (ended.end) {
    case exchange_outcome::kCancelled:
      co_return Cancelled();
    case exchange_outcome::kTimedOut:
      if (ended.sent) {
        co_return Unknown(error_kind::kDeadlinePassed, ended.detail);
      }
      co_return NotRun(error_kind::kDeadlinePassed, ended.detail);
    case exchange_outcome::kBroken:
      if (ended.sent) {
        co_return Unknown(error_kind::kServerFailed, ended.detail);
      }
      co_return NotRun(error_kind::kNoServer, ended.detail);
    case exchange_outcome::kAnswered:
      break;
  }
  constexpr unsigned kMisdirected = 421;
  if (ended.answer.result_int() == kMisdirected) {
    is_misaddressed_ = true;
    UpdateAdmission();
    gate_outcome misdirected =
        NotRun(error_kind::kNoServer, "another server has the address");
    misdirected.refused_by_server = true;
    co_return misdirected;
  }
  if (!HeaderOf(ended.answer, names.not_run).empty()) {
    gate_outcome refused = NotRun(error_kind::kShed, "the server refused it");
    refused.wait = offer.typical_duration;
    refused.refused_by_server = true;
    co_return refused;
  }
  gate_outcome answered;
  answered.end = gate_outcome_kind::kAnswered;
  answered.answer = std::move(ended.answer);
  answered.answer.erase(kOutcomeHeader);
  answered.answer.erase(kStatusHeader);
  co_return answered;
}

void gate::RecordOutcome(const call_offer& offer, const gate_outcome& outcome,
                         base::duration took) {
  if (outcome.end == gate_outcome_kind::kCancelled) return;
  const auto now = steady::now();
  const bool is_refusal = outcome.end == gate_outcome_kind::kNotRun;
  const bool failed = is_refusal || IsServerFailure(outcome);
  failure_rate_ += ((failed ? 1 : 0) - failure_rate_) * kFailureWeight;
  failure_rate_updated_at_ = now;
  if (is_refusal) return;
  const double typical_duration =
      static_cast<double>(offer.typical_duration.count());
  const double ratio =
      typical_duration > 0
          ? static_cast<double>(took.count()) / typical_duration
          : 1;
  if (!failed) {
    latency_ratio_ += (std::clamp(ratio, kMinLatencyRatio, kMaxLatencyRatio) -
                       latency_ratio_) *
                      kLatencyRatioWeight;
  }
  if (IsCold(now) && !failed) return;
  decisions::run_counts& counts = counts_[offer.route];
  ++counts.total;
  if (failed) ++counts.failed;
  if (ratio > kSlowMultiple) ++counts.slow;
}

gate_status gate::Status(const std::string& route, base::duration took) const {
  gate_status status;
  status.load.running = admission_.Running();
  status.load.waiting = admission_.Waiting();
  status.load.slots = admission_.Slots();
  const auto now = steady::now();
  status.load.latency_ratio = IsCold(now)
                                  ? std::max(latency_ratio_, kColdLatencyRatio)
                                  : latency_ratio_;
  const double half_lives =
      std::chrono::duration<double>(now - failure_rate_updated_at_) /
      std::chrono::duration<double>(kFailureHalfLife);
  status.load.failure_rate = failure_rate_ * std::exp2(-half_lives);
  if (server_) {
    status.server_id = server_->id;
    status.version = server_->version;
  }
  const auto counted = counts_.find(route);
  if (counted != counts_.end()) status.counts = counted->second;
  status.took = took;
  return status;
}

void gate::LogOutcome(const call_offer& offer,
                      const backend_servers::http_request& request,
                      const gate_outcome& outcome, base::duration waited) {
  const bool is_good = outcome.end == gate_outcome_kind::kAnswered;
  const std::string_view result = is_good
                                      ? std::string_view("answered")
                                      : base::ErrorInfoFor(outcome.reason).name;
  options_.metrics
      ->Counter("fireflyspar_gate_requests_total",
                "outcome=\"" + std::string(result) + "\"")
      .fetch_add(1, std::memory_order_relaxed);
  const auto priority =
      is_good ? event_priority::kSuccess : event_priority::kFailure;
  if (!options_.log->ShouldWrite(priority)) return;
  options_.log->Write(
      priority, "gate",
      {{"id", std::string(HeaderOf(request, options_.headers.request_id))},
       {"route", offer.route},
       {"server", server_ ? server_->id : ""},
       {"outcome", std::string(result)},
       {"status", is_good ? std::to_string(outcome.answer.result_int()) : ""},
       {"detail", outcome.detail},
       {"waited_us", std::to_string(waited.count())},
       {"took_us",
        outcome.status ? std::to_string(outcome.status->took.count()) : ""},
       {"left_us", std::to_string(offer.left.count())},
       {"wait_limit_us", std::to_string(offer.wait_limit.count())},
       {"running", std::to_string(admission_.Running())},
       {"waiting", std::to_string(admission_.Waiting())}});
}

}  // namespace fireflyspar::proxy
