#include "app/withheld_requests.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <vector>

#include "base/retry_delay.h"
#include "proxy/suspect_json.h"

namespace fireflyspar::app {
namespace {

using base::event_priority;
using decisions::suspect;
using nlohmann::json;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

constexpr milliseconds kFirstRetry{500};
constexpr milliseconds kLongestRetry{10'000};

constexpr char kSuspectKey[] = "request";
constexpr char kWrittenKey[] = "written_ms";

// An object older than this says nothing any more.
constexpr std::chrono::hours kMaxAge{48};

std::string NameOf(const suspect& known) {
  return known.identity.digest + "-" + known.service;
}

}  // namespace

net::awaitable<void> withheld_requests::Pause(base::duration span) {
  net::steady_timer timer(options_.executor, span);
  boost::system::error_code ignored;
  co_await timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
}

std::int64_t withheld_requests::NowMs() const {
  return std::chrono::duration_cast<milliseconds>(
             options_.clock().time_since_epoch())
      .count();
}

bool withheld_requests::HoldsAny(base::steady_instant now) const {
  return std::ranges::any_of(
      options_.suspects->All(),
      [now](const suspect* each) { return IsHeld(*each, now); });
}

net::awaitable<void> withheld_requests::Run() {
  int failures = 0;
  while (!co_await Read()) {
    co_await Pause(base::RetryDelay(failures++, kFirstRetry, kLongestRetry,
                                    options_.random()));
  }
  auto next_read = steady::now() + options_.read_pause;
  for (;;) {
    co_await Pause(options_.look_pause);
    co_await WriteOwn();
    const auto now = steady::now();
    if (!HoldsAny(now) || now < next_read) continue;
    next_read = now + options_.read_pause;
    co_await Read();
  }
}

net::awaitable<bool> withheld_requests::Read() {
  const auto listed = co_await options_.store->list(options_.kind, true);
  if (!listed) co_return false;
  for (const proxy::stored_object& each : listed->objects) TakeIn(each);
  LiftMissing(*listed);
  co_return true;
}

void withheld_requests::TakeIn(const proxy::stored_object& object) {
  const json& content = object.content;
  const bool has_parts = content.is_object() && content.contains(kSuspectKey) &&
                         content.contains(kWrittenKey) &&
                         content[kWrittenKey].is_number_integer();
  const auto now = steady::now();
  std::optional<suspect> stored;
  if (has_parts) {
    const std::int64_t now_ms = NowMs();
    const std::int64_t written_ms = std::clamp<std::int64_t>(
        content[kWrittenKey].get<std::int64_t>(),
        now_ms - milliseconds(kMaxAge).count(), now_ms);
    const milliseconds age(now_ms - written_ms);
    stored = proxy::ParseSuspect(content[kSuspectKey], now - age);
  }
  if (!stored || NameOf(*stored) != object.name) {
    options_.log->Write(event_priority::kStateChange, "withheld_unreadable",
                        {{"name", object.name}});
    return;
  }
  seen_object& seen = seen_[object.name];
  if (object.revision < seen.revision) return;
  seen = {.revision = object.revision,
          .term = stored->held.term,
          .service = stored->service,
          .digest = stored->identity.digest};
  options_.suspects->Merge(*stored, now);
}

// A store that was restored from a copy lacks what was written since, and a
// late list may be older than the object: neither says that it was deleted.
void withheld_requests::LiftMissing(const proxy::object_list& listed) {
  std::erase_if(seen_, [&](const auto& each) {
    const auto& [name, seen] = each;
    const bool is_there =
        std::ranges::find(listed.objects, name, &proxy::stored_object::name) !=
        listed.objects.end();
    const bool is_later = listed.revision.era == seen.revision.era &&
                          listed.revision > seen.revision;
    if (is_there) return false;
    if (!is_later) return listed.revision.era != seen.revision.era;
    const suspect* const lifted =
        options_.suspects->Lift(seen.service, seen.digest);
    if (lifted == nullptr) return true;
    options_.log->Write(event_priority::kStateChange, "withheld_lifted",
                        {{"identity", seen.digest}, {"service", seen.service}});
    options_.on_lifted(*lifted);
    return true;
  });
}

bool withheld_requests::MustWrite(const suspect& known,
                                  base::steady_instant now) const {
  if (!IsHeld(known, now)) return false;
  const bool has_decided = std::ranges::any_of(
      known.ends, [this](const decisions::server_end& each) {
        return each.instance == options_.instance &&
               each.level >= decisions::kWithheldLevel;
      });
  if (!has_decided) return false;
  const auto seen = seen_.find(NameOf(known));
  return seen == seen_.end() || seen->second.term < known.held.term;
}

net::awaitable<void> withheld_requests::WriteOwn() {
  const auto now = steady::now();
  if (now < next_write_) co_return;
  std::vector<suspect> unwritten;
  for (const suspect* each : options_.suspects->All()) {
    if (MustWrite(*each, now)) unwritten.push_back(*each);
  }
  for (const suspect& each : unwritten) co_await Write(each);
}

net::awaitable<void> withheld_requests::Write(suspect known) {
  const std::string name = NameOf(known);
  const auto seen = seen_.find(name);
  proxy::stored_object object{
      .name = name,
      .content = {{kSuspectKey, proxy::ToJson(known, steady::now())},
                  {kWrittenKey, NowMs()}}};
  if (seen != seen_.end()) object.revision = seen->second.revision;
  const auto written =
      co_await options_.store->put_content(options_.kind, object);
  options_.log->Write(
      event_priority::kStateChange, "withheld_written",
      {{"name", name}, {"result", base::NameOfResult(written)}});
  if (written) {
    seen_[name] = {.revision = written->revision,
                   .term = known.held.term,
                   .service = known.service,
                   .digest = known.identity.digest};
    co_return;
  }
  next_write_ = steady::now() + options_.read_pause;
  // Another process may have written it, or the answer was lost.
  const auto current = co_await options_.store->get(options_.kind, name, false);
  if (current) TakeIn(*current);
}

}  // namespace fireflyspar::app
