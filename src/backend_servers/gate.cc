#include "backend_servers/gate.h"

#include <chrono>
#include <string_view>
#include <utility>

#include "backend_servers/gate_state.h"
#include "base/log.h"

namespace fireflyspar::backend_servers {
namespace {

using decisions::admission_step;
using decisions::server_state;

// A server announces itself every second. It counts as absent when no
// announcement has arrived for this long.
constexpr std::chrono::seconds kAnnouncementTimeout{3};

constexpr int kMaxSlots = 100'000;

std::string_view ToText(server_state state) {
  switch (state) {
    case server_state::kAbsent:
      return "absent";
    case server_state::kStarting:
      return "starting";
    case server_state::kServing:
      return "serving";
    case server_state::kDraining:
      return "draining";
  }
  return "";
}

base::status Validate(const announcement& received) {
  using base::error_kind;
  if (received.server.service.empty()) {
    return base::Fail(error_kind::kBadRequest, "the service's name is empty");
  }
  if (received.server.version.empty()) {
    return base::Fail(error_kind::kBadRequest, "the version is empty");
  }
  if (received.server.slots < 1 || received.server.slots > kMaxSlots) {
    return base::Fail(error_kind::kBadRequest,
                      "slots = " + std::to_string(received.server.slots) +
                          ", expected from 1 to " + std::to_string(kMaxSlots));
  }
  return base::success{};
}

}  // namespace

gate::state::entry gate::state::Enter(base::instant deadline,
                                      verdict_hook on_verdict) {
  const base::instant now = options_.clock();
  const std::lock_guard lock(mutex_);
  entry entered{.ticket = ++last_ticket_};
  entered.verdict = admission_.Enter(entered.ticket, deadline, now);
  if (entered.verdict.step == admission_step::kWait) {
    waiting_.emplace(entered.ticket, std::move(on_verdict));
  }
  return entered;
}

void gate::state::Leave(const decisions::admission_ending& ending) {
  queued_verdicts verdicts;
  {
    const std::lock_guard lock(mutex_);
    verdicts = admission_.Leave(ending, options_.clock());
  }
  CallHooks(verdicts);
}

bool gate::state::Abandon(std::uint64_t ticket) {
  const std::lock_guard lock(mutex_);
  waiting_.erase(ticket);
  return admission_.Abandon(ticket);
}

void gate::state::CallHooks(const queued_verdicts& verdicts) {
  for (const decisions::queued_verdict& queued : verdicts) {
    verdict_hook hook;
    {
      const std::lock_guard lock(mutex_);
      const auto found = waiting_.find(queued.ticket);
      if (found == waiting_.end()) continue;
      hook = std::move(found->second);
      waiting_.erase(found);
    }
    hook(queued.verdict);
  }
}

base::status gate::state::OnAnnouncement(const announcement& received) {
  base::status checked = Validate(received);
  if (!checked) return checked;
  const base::instant now = options_.clock();
  queued_verdicts verdicts;
  bool changed = false;
  decisions::server_record record;
  {
    const std::lock_guard lock(mutex_);
    last_announcement_ = now;
    announcement effective = received;
    if (draining_) effective.server.state = server_state::kDraining;
    changed = effective.server != local_.server ||
              effective.server_address != local_.server_address;
    if (changed) ChangeServer(effective, now);
    record = local_.server;
    verdicts = admission_.Tick(now);
  }
  CallHooks(verdicts);
  if (changed && options_.on_change) options_.on_change(record);
  return base::success{};
}

void gate::state::ChangeServer(const announcement& received,
                               base::instant now) {
  local_ = received;
  admission_.SetServer(received.server.state, received.server.slots, now);
  base::LogInfo("server_changed",
                {{"service", received.server.service},
                 {"version", received.server.version},
                 {"state", std::string(ToText(received.server.state))},
                 {"slots", std::to_string(received.server.slots)}});
}

void gate::state::Drain() {
  queued_verdicts verdicts;
  decisions::server_record record;
  {
    const std::lock_guard lock(mutex_);
    draining_ = true;
    admission_.Drain();
    if (local_.server.state != server_state::kAbsent) {
      local_.server.state = server_state::kDraining;
    }
    record = local_.server;
    verdicts = admission_.Tick(options_.clock());
  }
  CallHooks(verdicts);
  if (options_.on_change) options_.on_change(record);
}

void gate::state::Tick() {
  const base::instant now = options_.clock();
  queued_verdicts verdicts;
  bool has_timed_out = false;
  decisions::server_record record;
  {
    const std::lock_guard lock(mutex_);
    has_timed_out = local_.server.state != server_state::kAbsent &&
                    now - last_announcement_ > kAnnouncementTimeout;
    if (has_timed_out) {
      announcement absent = local_;
      absent.server.state = server_state::kAbsent;
      ChangeServer(absent, now);
    }
    record = local_.server;
    verdicts = admission_.Tick(now);
  }
  CallHooks(verdicts);
  if (has_timed_out && options_.on_change) options_.on_change(record);
}

int gate::state::InFlight() const {
  const std::lock_guard lock(mutex_);
  return admission_.InFlight();
}

int gate::state::Load() const {
  const std::lock_guard lock(mutex_);
  return admission_.InFlight() + admission_.Waiting();
}

announcement gate::state::Local() const {
  const std::lock_guard lock(mutex_);
  return local_;
}

gate::gate(gate_options options)
    : state_(std::make_unique<state>(std::move(options))) {}
gate::~gate() = default;

base::status gate::OnAnnouncement(const announcement& received) {
  return state_->OnAnnouncement(received);
}

void gate::Drain() { state_->Drain(); }

void gate::Tick() { state_->Tick(); }

int gate::InFlight() const { return state_->InFlight(); }

}  // namespace fireflyspar::backend_servers
