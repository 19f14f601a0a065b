#include "proxy/suspect_exchange.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <iterator>
#include <map>

#include "backend_servers/exchange.h"
#include "base/retry_delay.h"
#include "decisions/rendezvous.h"
#include "proxy/suspect_json.h"

namespace fireflyspar::proxy {
namespace {

using backend_servers::exchange_outcome;
using backend_servers::http_request;
using backend_servers::http_response;
using decisions::server_entry;
using decisions::suspect;
using nlohmann::json;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;
namespace http = backend_servers::http;

// All requests that a server ran end within this time of its own end.
constexpr milliseconds kGatherTime{3};

constexpr milliseconds kConnectTimeout{150};
constexpr milliseconds kMessageTimeout{1000};
constexpr milliseconds kFirstRetry{100};
constexpr milliseconds kLongestRetry{2000};

// After these tries the comparisons make up for a message.
constexpr int kMaxTries = 6;

// Pause between two comparisons with other processes.
constexpr milliseconds kComparePause{5000};

// Processes beside servers of other services that keep a change as well, and
// those that a process asks at its start.
constexpr std::size_t kOtherKeepers = 3;
constexpr int kAskedAtStart = 4;

constexpr std::size_t kMaxMessageBytes = 1'048'576;
constexpr std::size_t kMaxMessageSuspects = 512;

// Pause between two lines on messages that can't be read.
constexpr std::chrono::seconds kUnreadablePause{10};

constexpr char kFingerprintHeader[] = "fireflyspar-suspects";

net::awaitable<void> Pause(const net::any_io_executor& executor,
                           base::duration span) {
  net::steady_timer timer(executor, span);
  boost::system::error_code ignored;
  co_await timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
}

}  // namespace

suspect_exchange::peer_list suspect_exchange::KeepersOf(
    std::string_view service) const {
  peer_list keepers;
  std::vector<std::string> others;
  const auto& entries = options_.directory->Entries();
  for (const auto& [instance, entry] : entries) {
    if (instance == options_.instance) continue;
    if (entry.server.service == service) {
      keepers.push_back(entry);
    } else {
      others.push_back(instance);
    }
  }
  for (const std::string& each : decisions::ChooseByRendezvous(
           "suspects/" + std::string(service), others, kOtherKeepers)) {
    keepers.push_back(entries.find(each)->second);
  }
  return keepers;
}

void suspect_exchange::OnChange(const suspect& changed) {
  changed_.emplace(changed.service, changed.identity.digest);
  if (std::exchange(is_sending_, true)) return;
  net::co_spawn(options_.executor, SendChanges(), net::detached);
}

net::awaitable<void> suspect_exchange::SendChanges() {
  co_await Pause(options_.executor, kGatherTime);
  is_sending_ = false;
  const auto changed = std::exchange(changed_, {});
  std::map<std::string, std::vector<const suspect*>> by_service;
  for (const suspect* each : options_.suspects->All()) {
    if (changed.contains({each->service, each->identity.digest})) {
      by_service[each->service].push_back(each);
    }
  }
  for (const auto& [service, sent] : by_service) {
    const std::string body = Encode(sent);
    for (const server_entry& each : KeepersOf(service)) {
      net::co_spawn(options_.executor, SendUntilTaken(each, body),
                    net::detached);
    }
  }
}

net::awaitable<void> suspect_exchange::SendUntilTaken(server_entry to,
                                                      std::string body) {
  for (int failures = 0; failures < kMaxTries; ++failures) {
    const auto taken = co_await Send(to, body);
    if (taken) co_return;
    const base::duration delay = base::RetryDelay(
        failures, kFirstRetry, kLongestRetry, options_.random());
    co_await Pause(options_.executor, delay);
  }
}

net::awaitable<std::optional<bool>> suspect_exchange::Send(
    const server_entry& to, const std::string& body) {
  http_request request(http::verb::post, kSuspectsPath, 11);
  request.keep_alive(true);
  request.set(kFingerprintHeader,
              std::to_string(options_.suspects->Fingerprint()));
  request.body() = body;
  request.prepare_payload();
  const backend_servers::exchange_options options{
      .to = to.gate,
      .deadline = steady::now() + kMessageTimeout,
      .connect_timeout = kConnectTimeout};
  backend_servers::cancellation never;
  const auto ended =
      co_await backend_servers::Exchange(peers_, options, request, never);
  const bool is_taken = ended.end == exchange_outcome::kAnswered &&
                        ended.answer.result() == http::status::ok;
  if (!is_taken) co_return std::nullopt;
  const bool knew_the_same = ended.answer.body().empty();
  if (!knew_the_same) TakeIn(ended.answer.body());
  co_return knew_the_same;
}

// Learns what the other process knows, and tells it what it does not know.
net::awaitable<void> suspect_exchange::Compare(server_entry with) {
  const auto knew_the_same = co_await Send(with, "");
  const bool is_done = !knew_the_same || *knew_the_same;
  if (is_done || options_.suspects->IsEmpty()) co_return;
  co_await Send(with, Encode(options_.suspects->All()));
}

void suspect_exchange::OnDirectoryChange() {
  for (const auto& [instance, entry] : options_.directory->Entries()) {
    if (asked_at_start_ >= kAskedAtStart) return;
    if (instance == options_.instance) continue;
    ++asked_at_start_;
    net::co_spawn(options_.executor, Compare(entry), net::detached);
  }
}

void suspect_exchange::Tick() {
  const auto now = steady::now();
  if (options_.suspects->IsEmpty() || now < next_comparison_) return;
  next_comparison_ = now + kComparePause;
  options_.suspects->Expire(now);
  std::set<std::string> services;
  for (const suspect* each : options_.suspects->All()) {
    services.insert(each->service);
  }
  peer_list keepers;
  for (const std::string& each : services) {
    std::ranges::copy(KeepersOf(each), std::back_inserter(keepers));
  }
  if (keepers.empty()) return;
  const server_entry& with = keepers[options_.random() % keepers.size()];
  net::co_spawn(options_.executor, Compare(with), net::detached);
}

std::string suspect_exchange::Encode(
    const std::vector<const suspect*>& sent) const {
  const auto now = steady::now();
  json list = json::array();
  for (const suspect* each : sent) list.push_back(ToJson(*each, now));
  return list.dump(-1, ' ', true, json::error_handler_t::replace);
}

bool suspect_exchange::TakeIn(std::string_view body) {
  if (body.size() > kMaxMessageBytes) return false;
  const json list = json::parse(body, nullptr, false);
  if (!list.is_array() || list.size() > kMaxMessageSuspects) return false;
  const auto now = steady::now();
  bool is_readable = true;
  for (const json& each : list) {
    const auto theirs = ParseSuspect(each, now);
    if (!theirs) {
      is_readable = false;
      continue;
    }
    if (!options_.suspects->Merge(*theirs, now)) continue;
    const suspect* const known =
        options_.suspects->Find(theirs->service, theirs->identity);
    if (known != nullptr) options_.on_learnt(*known);
  }
  return is_readable;
}

http_response suspect_exchange::Serve(const http_request& request) {
  const bool is_readable = request.body().empty() || TakeIn(request.body());
  if (!is_readable) {
    const auto now = steady::now();
    if (now - logged_unreadable_at_ > kUnreadablePause) {
      logged_unreadable_at_ = now;
      options_.log->Write(base::event_priority::kStateChange,
                          "suspects_unreadable",
                          {{"bytes", std::to_string(request.body().size())}});
    }
  }
  http_response answer(http::status::ok, 11);
  const bool knows_the_same =
      backend_servers::HeaderOf(request, kFingerprintHeader) ==
      std::to_string(options_.suspects->Fingerprint());
  const bool is_comparison = request.body().empty();
  if (is_comparison && !knows_the_same) {
    answer.body() = Encode(options_.suspects->All());
  }
  answer.prepare_payload();
  return answer;
}

}  // namespace fireflyspar::proxy
