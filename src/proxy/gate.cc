#include "proxy/gate.h"

#include <chrono>
#include <utility>

#include "proxy/elapsed.h"
#include "proxy/gate_log.h"

namespace fireflyspar::proxy {
namespace {

using base::error_kind;
using base::event_priority;
using decisions::server_condition;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

}  // namespace

gate::gate(gate_options options)
    : options_(std::move(options)),
      pool_(options_.executor, options_.answers),
      transfers_(options_.transfers),
      pending_(admission_, transfers_),
      waiters_(options_.executor),
      turn_timer_(options_.executor),
      past_waited_until_(steady::now() + options_.wait_for_past),
      notices_({.headers = options_.headers,
                .metrics = options_.metrics,
                .log = options_.log}),
      suspects_({.headers = options_.headers,
                 .metrics = options_.metrics,
                 .log = options_.log,
                 .instance = options_.instance,
                 .suspects = &known_suspects_,
                 .on_change = options_.on_suspect}),
      cold_start_({.executor = options_.executor,
                   .headers = options_.headers,
                   .metrics = options_.metrics,
                   .log = options_.log,
                   .rules = options_.cold_start_rules_of,
                   .on_change = [this] { NotifyWaiters(); }}) {}

bool gate::OnHeartbeat(const server_heartbeat& heartbeat) {
  if (IsOutdated(heartbeat.server)) return false;
  const bool is_same_start =
      server_ && decisions::IsSameStart(heartbeat.server, *server_);
  if (is_same_start && heartbeat.sequence <= sequence_) return false;
  const auto now = steady::now();
  if (!is_same_start) {
    measurements_.Restart(heartbeat.cold_left);
    notices_.Restart(heartbeat.server.id);
    cold_start_.Restart(heartbeat.server, heartbeat.address,
                        now + heartbeat.cold_left);
    runs_->OnStart({heartbeat.server.id, heartbeat.server.start_ms});
    pool_.CloseIdle(address_);
  }
  cold_start_.OnReport(now + heartbeat.cold_left);
  sequence_ = heartbeat.sequence;
  address_ = heartbeat.address;
  last_heartbeat_at_ = now;
  measurements_.SetColdUntil(now + heartbeat.cold_left);
  const std::optional<decisions::server_info> before = server_;
  server_ = heartbeat.server;
  NoteLeaving(*server_);
  if (left_.Contains(*server_)) {
    server_->condition = server_condition::kDraining;
  }
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
    if (MayOpen()) options_.on_change(server_);
  }
  return true;
}

bool gate::IsOutdated(const decisions::server_info& start) const {
  if (server_) return start.start_ms < server_->start_ms;
  const bool is_stored_recent =
      stored_ && ElapsedSince(stored_at_) <= options_.heartbeat_timeout;
  return is_stored_recent && start.start_ms < stored_->start_ms;
}

void gate::NoteLeaving(const decisions::server_info& start) {
  if (start.condition != server_condition::kDraining) return;
  left_.Add(start.id, start.start_ms);
}

void gate::OnLeave(std::string_view server_id, std::int64_t start_ms) {
  const bool is_registered = server_ && server_->id == server_id;
  if (start_ms == 0) start_ms = is_registered ? server_->start_ms : NowMs();
  left_.Add(server_id, start_ms);
  const bool is_of_earlier_start = is_registered && !left_.Contains(*server_);
  if (!is_registered || is_of_earlier_start) {
    options_.log->Write(event_priority::kStateChange, "server_leaving",
                        {{"server", std::string(server_id)},
                         {"start_ms", std::to_string(start_ms)}});
    PublishEarlyLeave();
    return;
  }
  if (server_->condition == server_condition::kDraining) return;
  server_->condition = server_condition::kDraining;
  UpdateAdmission();
  options_.log->Write(event_priority::kStateChange, "server_leaving",
                      {{"server", server_->id}});
  options_.on_change(server_);
}

std::int64_t gate::NowMs() const {
  const auto now = options_.clock().time_since_epoch();
  return std::chrono::duration_cast<milliseconds>(now).count();
}

void gate::PublishEarlyLeave() {
  const bool has_left = !server_ && stored_ &&
                        stored_->condition == server_condition::kServing &&
                        left_.Contains(*stored_);
  if (!has_left) return;
  decisions::server_info leaving = *stored_;
  leaving.condition = server_condition::kDraining;
  options_.on_change(leaving);
}

bool gate::MayOpen() const {
  return is_past_known_ || steady::now() >= past_waited_until_;
}

void gate::OnPastKnown() {
  if (std::exchange(is_past_known_, true)) return;
  const bool is_outdated =
      server_ && stored_ && server_->start_ms < stored_->start_ms;
  if (is_outdated) server_.reset();
  if (server_) options_.on_change(server_);
  UpdateAdmission();
}

void gate::OnStored(const decisions::server_info& stored) {
  const bool is_new = !stored_ || !decisions::IsSameStart(*stored_, stored);
  if (is_new) stored_at_ = steady::now();
  stored_ = stored;
  NoteLeaving(stored);
  PublishEarlyLeave();
  const bool is_leaving = server_ && left_.Contains(*server_);
  if (is_leaving) OnLeave(server_->id);
}

std::optional<gate::heard_start> gate::Heard() const {
  if (!server_) return std::nullopt;
  return heard_start{.start = {server_->id, server_->start_ms},
                     .sequence = sequence_};
}

void gate::OnMisaddressed(const heard_start& asked) {
  if (misaddressed_ == asked) return;
  const bool has_reported_since = asked != Heard();
  LogMisaddressed(*options_.log, asked.start, server_, has_reported_since);
  if (has_reported_since) return;
  misaddressed_ = asked;
  UpdateAdmission();
}

bool gate::IsPresentAndUsable() const {
  return server_ && misaddressed_ != Heard() && MayOpen() && !is_evacuated_;
}

bool gate::IsOpen() const {
  return IsPresentAndUsable() && !is_closed_ &&
         server_->condition == server_condition::kServing;
}

void gate::UpdateAdmission() {
  if (IsOpen()) {
    admission_.Open(server_->slots);
  } else {
    const bool is_draining = is_closed_ || IsPresentAndUsable();
    admission_.Close(is_draining ? error_kind::kDraining
                                 : error_kind::kNoServer);
  }
  NotifyWaiters();
}

void gate::Tick() {
  const auto silent = ElapsedSince(last_heartbeat_at_);
  if (server_ && silent > options_.heartbeat_timeout) {
    options_.log->Write(event_priority::kStateChange, "server_silent",
                        {{"server", server_->id},
                         {"silent_us", std::to_string(silent.count())}});
    server_.reset();
    cold_start_.OnGone();
    options_.on_change(server_);
    UpdateAdmission();
  }
  if (!is_past_known_ && MayOpen()) {
    options_.log->Write(event_priority::kFailure, "server_past_unknown", {});
    OnPastKnown();
  }
  notices_.LogLimitUse(admission_, steady::now());
  NotifyWaiters();
}

void gate::SetEvacuated(bool is_evacuated) {
  if (std::exchange(is_evacuated_, is_evacuated) == is_evacuated) return;
  if (server_ && !is_evacuated_) cold_start_.OnUncertain();
  UpdateAdmission();
}

void gate::Shorten(std::span<const std::string> request_ids,
                   base::steady_instant deadline) {
  pending_.Shorten(request_ids, deadline);
  NotifyWaiters();
}

void gate::EndBy(base::steady_instant end) {
  pending_.EndBy(end);
  NotifyWaiters();
}

void gate::Close() {
  is_closed_ = true;
  UpdateAdmission();
}

void gate::ApplyLimit(base::steady_instant now) {
  const auto named = notices_.Current().requests_per_second;
  admission_.SetLimit(cold_start_.Limit(named, now), now);
}

void gate::NotifyWaiters() {
  const auto now = steady::now();
  ApplyLimit(now);
  waiters_.Notify(admission_.ProcessQueue(now));
  waiters_.Notify(transfers_.ProcessQueue(now));
  ScheduleNextTurn(now);
}

void gate::ScheduleNextTurn(base::steady_instant now) {
  const auto wait = admission_.WaitForTurn(now);
  if (!wait) return;
  turn_timer_.expires_after(*wait);
  turn_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) NotifyWaiters();
  });
}

void gate::OnPeerNotices(const told_notices& told) {
  const bool applies = server_ && told.server_id == server_->id &&
                       told.start_ms == server_->start_ms;
  if (!applies) return;
  notices_.OnPeer(told.said, steady::now());
  ApplyNotices();
}

void gate::ApplyNotices() {
  ApplyLimit(steady::now());
  if (notices_.Current().is_leaving) OnLeave(server_->id);
}

}  // namespace fireflyspar::proxy
