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
constexpr std::chrono::seconds kSilence{3};

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

base::status Validate(const announcement& heard) {
  using base::error_kind;
  if (heard.server.service.empty()) {
    return base::Fail(error_kind::kBadRequest, "the service's name is empty");
  }
  if (heard.server.version.empty()) {
    return base::Fail(error_kind::kBadRequest, "the version is empty");
  }
  if (heard.server.slots < 1 || heard.server.slots > kMaxSlots) {
    return base::Fail(error_kind::kBadRequest,
                      "slots = " + std::to_string(heard.server.slots) +
                          ", expected from 1 to " + std::to_string(kMaxSlots));
  }
  return base::nothing{};
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
  for (const decisions::admission_turn& queued : verdicts) {
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

base::status gate::state::Announce(const announcement& heard) {
  base::status checked = Validate(heard);
  if (!checked) return checked;
  const base::instant now = options_.clock();
  queued_verdicts verdicts;
  bool changed = false;
  decisions::server_record told;
  {
    const std::lock_guard lock(mutex_);
    last_heard_ = now;
    announcement effective = heard;
    if (draining_) effective.server.state = server_state::kDraining;
    changed = effective.server != local_.server ||
              effective.server_address != local_.server_address;
    if (changed) ChangeServer(effective, now);
    told = local_.server;
    verdicts = admission_.Tick(now);
  }
  CallHooks(verdicts);
  if (changed && options_.on_change) options_.on_change(told);
  return base::nothing{};
}

void gate::state::ChangeServer(const announcement& heard, base::instant now) {
  local_ = heard;
  admission_.SetServer(heard.server.state, heard.server.slots, now);
  base::LogInfo("server_changed",
                {{"service", heard.server.service},
                 {"version", heard.server.version},
                 {"state", std::string(ToText(heard.server.state))},
                 {"slots", std::to_string(heard.server.slots)}});
}

void gate::state::Drain() {
  queued_verdicts verdicts;
  decisions::server_record told;
  {
    const std::lock_guard lock(mutex_);
    draining_ = true;
    admission_.Drain();
    if (local_.server.state != server_state::kAbsent) {
      local_.server.state = server_state::kDraining;
    }
    told = local_.server;
    verdicts = admission_.Tick(options_.clock());
  }
  CallHooks(verdicts);
  if (options_.on_change) options_.on_change(told);
}

void gate::state::Tick() {
  const base::instant now = options_.clock();
  queued_verdicts verdicts;
  bool fell_silent = false;
  decisions::server_record told;
  {
    const std::lock_guard lock(mutex_);
    fell_silent = local_.server.state != server_state::kAbsent &&
                  now - last_heard_ > kSilence;
    if (fell_silent) {
      announcement absent = local_;
      absent.server.state = server_state::kAbsent;
      ChangeServer(absent, now);
    }
    told = local_.server;
    verdicts = admission_.Tick(now);
  }
  CallHooks(verdicts);
  if (fell_silent && options_.on_change) options_.on_change(told);
}

int gate::state::InFlight() const {
  const std::lock_guard lock(mutex_);
  return admission_.InFlight();
}

int gate::state::Busy() const {
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

base::status gate::Announce(const announcement& heard) {
  return state_->Announce(heard);
}

void gate::Drain() { state_->Drain(); }

void gate::Tick() { state_->Tick(); }

int gate::InFlight() const { return state_->InFlight(); }

}  // namespace fireflyspar::backend_servers
