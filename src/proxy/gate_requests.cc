// How the gate runs a request, from the offer to its outcome.
#include <chrono>
#include <utility>

#include "backend_servers/exchange.h"
#include "backend_servers/listening_check.h"
#include "proxy/abandoned_request.h"
#include "proxy/elapsed.h"
#include "proxy/gate.h"
#include "proxy/gate_log.h"
#include "proxy/gate_scopes.h"
#include "proxy/server_answers.h"

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

// The wait that refusals give while the server is leaving: routers avoid the
// gate for this long. They learn of its successor on this instance from that
// server's entry and can then offer it requests at once.
constexpr milliseconds kLeavingRetryAfter{10'000};

// How long after the deadline a response that the server sends at the last
// moment is still awaited.
constexpr milliseconds kAnswerGrace{60};

constexpr milliseconds kConnectTimeout{1000};

// The bytes of a server's answer that the system holds unread.
constexpr int kReceiveBuffer = 65'536;

// Within this time a server on the same instance accepts a connection, or its
// absence shows.
constexpr milliseconds kEndCheckTimeout{200};

// A request that may not be retried reuses only a connection that was in use
// this recently. On a connection that the server has just closed for idleness,
// the request's outcome would be unknown.
constexpr milliseconds kMaxIdleForUnsafe{1000};

// More than nine requests in ten take at most the typical time and this many
// mean deviations, for exponential, normal and lognormal times alike.
constexpr double kDeviationsInMargin = 2;

}  // namespace

net::awaitable<admission_result> gate::WaitForSlot(
    const admission_request& pending, backend_servers::cancellation& cancel) {
  const admission_result entered = admission_.Enter(pending, steady::now());
  if (entered.choice != admission_choice::kWait) co_return entered;
  ScheduleNextTurn(steady::now());
  const auto decided =
      co_await waiters_.Wait(pending.ticket, pending.deadline, cancel);
  if (decided) co_return *decided;
  admission_.Abandon(pending.ticket);
  co_return Abandoned(cancel);
}

net::awaitable<admission_result> gate::WaitForLink(
    const decisions::transfer_request& body,
    backend_servers::cancellation& cancel) {
  const admission_result entered = transfers_.Enter(body, steady::now());
  if (entered.choice != admission_choice::kWait) co_return entered;
  const auto decided =
      co_await waiters_.Wait(body.ticket, body.deadline, cancel);
  if (decided) co_return *decided;
  transfers_.Abandon(body.ticket);
  co_return Abandoned(cancel);
}

net::awaitable<admission_result> gate::ReceiveLargeBody(
    const call_offer& offer, const admission_request& pending,
    const body_reader& read_body, backend_servers::cancellation& cancel) {
  // A request that would be refused for want of a slot costs the link nothing.
  const admission_result slot = admission_.Evaluate(pending, steady::now());
  if (slot.choice == admission_choice::kRefuse) co_return slot;
  const decisions::transfer_request body{.ticket = pending.ticket,
                                         .bytes = offer.body_bytes,
                                         .priority = offer.priority,
                                         .time_after = pending.typical_duration,
                                         .wait_limit = pending.wait_limit,
                                         .objective = pending.objective,
                                         .deadline = pending.deadline};
  const admission_result admitted = co_await WaitForLink(body, cancel);
  if (admitted.choice == admission_choice::kRefuse) co_return admitted;
  const bool is_whole = !cancel.IsCancelled() && co_await read_body();
  transfers_.Arrive(body.ticket, is_whole, steady::now());
  NotifyWaiters();
  if (is_whole) co_return admitted;
  transfers_.Release(body.bytes);
  admission_result cut_off;
  cut_off.reason = error_kind::kCancelled;
  co_return cut_off;
}

admission_request gate::ToAdmissionRequest(const call_offer& offer,
                                           base::steady_instant begun) {
  const auto typical = static_cast<double>(offer.typical_duration.count());
  const double duration = typical * measurements_.LatencyRatio(begun);
  const double margin =
      typical * measurements_.LatencyDeviation() * kDeviationsInMargin;
  return {
      .ticket = ++last_ticket_,
      .is_nested_call = offer.is_nested_call,
      .priority = offer.priority,
      .typical_duration = base::duration(static_cast<std::int64_t>(duration)),
      .duration_margin = base::duration(static_cast<std::int64_t>(margin)),
      .wait_limit = offer.wait_limit,
      .objective = begun + offer.time_to_objective,
      .deadline = begun + offer.left};
}

gate_outcome gate::ToRefusal(const admission_result& refused) const {
  gate_outcome outcome = NotRun(refused.reason, "refused by the gate");
  outcome.wait = refused.wait;
  const bool server_leaves =
      refused.reason == error_kind::kDraining && !is_closed_;
  if (server_leaves) outcome.wait = kLeavingRetryAfter;
  if (refused.reason == error_kind::kCancelled) {
    outcome.end = gate_outcome_kind::kCancelled;
  }
  return outcome;
}

bool gate::Serves(const call_offer& offer) const {
  return server_ && server_->service == offer.service &&
         server_->version == offer.version;
}

net::awaitable<gate_outcome> gate::Run(const call_offer& offer,
                                       backend_servers::http_request& request,
                                       const body_reader& read_body,
                                       backend_servers::cancellation& cancel) {
  base::duration waited{};
  gate_outcome outcome;
  if (offer.told) OnPeerNotices(*offer.told);
  suspects_.OnOffer(offer);
  if (Serves(offer)) {
    outcome = co_await AdmitAndRun(offer, request, read_body, cancel, waited);
  } else {
    outcome = NotRun(error_kind::kNoServer, "another server stands here");
  }
  LogOutcome(*options_.log, *options_.metrics, admission_,
             {.request_id = HeaderOf(request, options_.headers.request_id),
              .server_id = server_ ? server_->id : std::string_view(),
              .waited = waited},
             offer, outcome);
  co_return outcome;
}

net::awaitable<gate_outcome> gate::AdmitAndRun(
    const call_offer& offer, backend_servers::http_request& request,
    const body_reader& read_body, backend_servers::cancellation& cancel,
    base::duration& waited) {
  // A request whose body is yet to come is looked at when it is whole.
  if (!read_body) {
    auto refusal = suspects_.Refuse(offer, request);
    if (refusal) {
      refusal->status = Status(offer.route, {});
      co_return *std::move(refusal);
    }
  }
  const auto begun = steady::now();
  pending_offer pending{
      .request_id = std::string(HeaderOf(request, options_.headers.request_id)),
      .admission = ToAdmissionRequest(offer, begun),
      .deadline = begun + offer.left};
  const pending_offers::entry entry(pending_, pending);
  const bool is_large = read_body && offer.body_bytes >= kLargeBodyBytes;
  std::optional<held_body> held;
  if (is_large) {
    const admission_result received =
        co_await ReceiveLargeBody(offer, pending.admission, read_body, cancel);
    waited = ElapsedSince(begun);
    if (received.choice == admission_choice::kRefuse) {
      gate_outcome refusal = ToRefusal(received);
      refusal.status = Status(offer.route, {});
      co_return refusal;
    }
    held.emplace(transfers_, offer.body_bytes);
    // Another gate would need the body again.
    pending.admission.wait_limit = base::duration::max();
  }
  const admission_result admitted =
      co_await WaitForSlot(pending.admission, cancel);
  waited = ElapsedSince(begun);
  if (admitted.choice == admission_choice::kRefuse) {
    gate_outcome refusal = ToRefusal(admitted);
    refusal.status = Status(offer.route, {});
    co_return refusal;
  }
  running_slot slot(admission_);
  bool has_whole_request = !cancel.IsCancelled();
  const bool must_read = read_body && !is_large;
  if (has_whole_request && must_read) has_whole_request = co_await read_body();
  if (!has_whole_request) {
    slot.Leave({});
    NotifyWaiters();
    co_return Cancelled();
  }
  const auto sent = steady::now();
  const auto asked = server_.value_or(decisions::server_info{});
  gate_outcome outcome =
      co_await SendAndTrack(offer, request, pending.deadline, cancel);
  const base::duration took = ElapsedSince(sent);
  slot.Leave(took);
  if (IsPresent(asked)) {
    measurements_.Record(offer, outcome, took, steady::now());
  }
  NotifyWaiters();
  outcome.status = Status(offer.route, took);
  co_return outcome;
}

net::awaitable<gate_outcome> gate::SendAndTrack(
    const call_offer& offer, backend_servers::http_request& request,
    base::steady_instant deadline, backend_servers::cancellation& cancel) {
  // Other requests may have run while this one waited.
  auto refusal = suspects_.Refuse(offer, request);
  if (refusal) co_return *std::move(refusal);
  const entered_request entered(suspects_, suspects_.Enter(offer, request));
  gate_outcome outcome =
      co_await Send(offer, entered.Request(), request, deadline, cancel);
  co_return outcome;
}

net::awaitable<gate_outcome> gate::Send(const call_offer& offer,
                                        const running_request& entered,
                                        backend_servers::http_request& request,
                                        base::steady_instant deadline,
                                        backend_servers::cancellation& cancel) {
  // The server may have changed while the request waited.
  if (!Serves(offer)) {
    co_return NotRun(error_kind::kNoServer, "another server stands here");
  }
  const auto left =
      std::chrono::duration_cast<milliseconds>(deadline - steady::now());
  if (left.count() <= 0) {
    co_return NotRun(error_kind::kDeadlinePassed, "no time is left");
  }
  const decisions::server_info asked = *server_;
  const heard_start asked_start = *Heard();
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
  options.receive_buffer_bytes = kReceiveBuffer;
  notices_.CountSent(offer);
  const auto sent = steady::now();
  server_runs::entry run(runs_, HeaderOf(request, names.request_id),
                         options.deadline);
  exchange_result ended =
      co_await backend_servers::Exchange(pool_, options, request, cancel);
  const bool may_go_on = ended.sent && ended.end != exchange_outcome::kAnswered;
  may_go_on ? run.Abandon() : run.End();
  if (ended.end != exchange_outcome::kAnswered) {
    co_return co_await WithoutAnswer(ended, offer, entered, request, asked,
                                     options.to);
  }
  const answer_meaning meaning =
      MeaningOf(ended.answer, names, offer.is_idempotent);
  if (meaning == answer_meaning::kMisdirected) {
    OnMisaddressed(asked_start);
    gate_outcome misdirected =
        NotRun(error_kind::kNoServer, "another server has the address");
    misdirected.refused_by_server = true;
    co_return misdirected;
  }
  if (IsPresent(asked)) {
    const bool was_run = meaning != answer_meaning::kRefused;
    notices_.OnAnswer(ended.answer, {.sent = sent, .was_run = was_run},
                      steady::now());
    ApplyNotices();
  }
  if (meaning == answer_meaning::kUnclear) {
    co_return Unknown(error_kind::kServerFailed,
                      "the server's answer contradicts itself");
  }
  if (meaning == answer_meaning::kRefused) {
    gate_outcome refused = NotRun(error_kind::kShed, "the server refused it");
    refused.wait = offer.typical_duration;
    refused.refused_by_server = true;
    co_return refused;
  }
  suspects_.OnAnswer(entered, offer, request, asked);
  gate_outcome answered;
  answered.end = gate_outcome_kind::kAnswered;
  answered.answer = std::move(ended.answer);
  EraseGateHeaders(answered.answer);
  co_return answered;
}

net::awaitable<gate_outcome> gate::WithoutAnswer(
    const exchange_result& ended, const call_offer& offer,
    const running_request& entered,
    const backend_servers::http_request& request,
    const decisions::server_info& asked, const base::address& address) {
  const bool is_given_up = ended.sent && ended.end != exchange_outcome::kBroken;
  if (is_given_up) suspects_.OnGivenUp(entered, offer, request, asked);
  if (ended.end == exchange_outcome::kCancelled) co_return Cancelled();
  if (ended.end == exchange_outcome::kTimedOut) {
    co_return ended.sent ? Unknown(error_kind::kDeadlinePassed, ended.detail)
                         : NotRun(error_kind::kDeadlinePassed, ended.detail);
  }
  const bool has_ended = co_await HasServerEnded(asked, address);
  if (!ended.sent) co_return NotRun(error_kind::kNoServer, ended.detail);
  gate_outcome lost = Unknown(error_kind::kServerFailed, ended.detail);
  if (has_ended) lost.suspect = OnServerEnd(entered, offer, request, asked);
  co_return lost;
}

net::awaitable<bool> gate::HasServerEnded(const decisions::server_info& asked,
                                          const base::address& address) {
  const auto is_known = [&] {
    return ended_server_ && decisions::IsSameStart(*ended_server_, asked);
  };
  if (is_known()) co_return true;
  const bool is_refused = co_await backend_servers::IsConnectionRefused(
      pool_, address, kEndCheckTimeout);
  if (!is_refused) co_return false;
  if (is_known()) co_return true;
  ended_server_ = asked;
  runs_->OnServerEnd({asked.id, asked.start_ms});
  if (!IsLeaving(asked)) suspects_.OnEndFound(asked);
  // It may be back under the same id before its first report comes.
  if (IsPresent(asked)) cold_start_.OnUncertain();
  options_.metrics->Counter("fireflyspar_server_ends_total")
      .fetch_add(1, std::memory_order_relaxed);
  options_.log->Write(
      event_priority::kStateChange, "server_ended",
      {{"server", asked.id}, {"running", std::to_string(runs_->UnderWay())}});
  co_return true;
}

bool gate::IsLeaving(const decisions::server_info& start) const {
  return IsPresent(start) && server_->condition == server_condition::kDraining;
}

std::optional<decisions::suspect> gate::OnServerEnd(
    const running_request& entered, const call_offer& offer,
    const backend_servers::http_request& request,
    const decisions::server_info& ended) {
  if (IsLeaving(ended)) return std::nullopt;
  return suspects_.OnServerEnd(entered, offer, request, ended);
}

gate_status gate::Status(const std::string& route, base::duration took) const {
  const auto now = steady::now();
  gate_status status;
  status.load = {.running = admission_.Running(),
                 .waiting = admission_.Waiting(),
                 .slots = admission_.Slots(),
                 .latency_ratio = measurements_.LatencyRatio(now),
                 .failure_rate = measurements_.FailureRate(now),
                 .bytes_per_second = transfers_.BytesPerSecond(),
                 .body_backlog = transfers_.Backlog()};
  if (server_) {
    status.server_id = server_->id;
    status.version = server_->version;
    decisions::server_notices said = notices_.Current();
    said.is_leaving = left_.Contains(*server_);
    status.load.requests_per_second = said.requests_per_second.value_or(0);
    status.load.cold_limit = cold_start_.ColdLimit(now).value_or(0);
    const bool is_ordinary = said == decisions::server_notices{};
    if (!is_ordinary) {
      status.told = {.server_id = server_->id,
                     .start_ms = server_->start_ms,
                     .said = said};
    }
  }
  status.counts = measurements_.CountsOf(route);
  status.took = took;
  status.held = options_.held();
  return status;
}

}  // namespace fireflyspar::proxy
