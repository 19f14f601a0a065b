#include "proxy/quota_exchange.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <utility>

#include "backend_servers/exchange.h"
#include "proxy/header_words.h"

namespace fireflyspar::proxy {
namespace {

using backend_servers::exchange_outcome;
using backend_servers::HeaderOf;
using backend_servers::http_request;
using backend_servers::http_response;
using decisions::quota_grant;
using decisions::versioned_limit;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;
namespace http = backend_servers::http;

constexpr char kQuotaHeader[] = "fireflyspar-quota";

constexpr milliseconds kConnectTimeout{100};
constexpr milliseconds kAskTimeout{250};

// An owner that can't be reached, or does not own its part, is asked again
// after this time.
constexpr milliseconds kUnreachablePause{500};

// The shortest time after which an owner without tokens is asked again.
constexpr milliseconds kMinAskPause{20};

// Organisations that have counters of their own; the others share one.
constexpr std::size_t kMaxCounted = 100;

// No instance uses more tokens before they expire.
constexpr int kMaxWanted = 10'000;

constexpr std::chrono::seconds kForgetPause{10};

// Rates and bursts are sent as whole thousandths.
constexpr double kThousand = 1000;

std::string EncodeAsk(std::string_view organisation,
                      const versioned_limit& limit, int wanted) {
  const auto thousandths = [](double value) {
    return static_cast<std::int64_t>(value * kThousand);
  };
  word_writer words;
  words.Add(organisation).Add(static_cast<std::int64_t>(limit.version));
  words.Add(thousandths(limit.limit.requests_per_second))
      .Add(thousandths(limit.limit.burst));
  words.Add(wanted);
  return std::move(words).Text();
}

struct quota_ask {
  std::string organisation;
  versioned_limit limit;
  int wanted = 0;
};

std::optional<quota_ask> DecodeAsk(std::string_view text) {
  word_reader words(text);
  quota_ask ask{.organisation = words.Word()};
  ask.limit.version = static_cast<std::uint64_t>(words.Number());
  ask.limit.limit.requests_per_second =
      static_cast<double>(words.Number()) / kThousand;
  ask.limit.limit.burst = static_cast<double>(words.Number()) / kThousand;
  ask.wanted = words.Integer();
  const bool is_valid = words.Ok() && ask.limit.limit.IsLimited() &&
                        ask.limit.limit.burst >= 0 && ask.wanted > 0 &&
                        ask.wanted <= kMaxWanted;
  return is_valid ? std::optional(std::move(ask)) : std::nullopt;
}

std::optional<quota_grant> DecodeGrant(std::string_view text) {
  word_reader words(text);
  const quota_grant grant{.tokens = words.Integer(), .wait = words.Duration()};
  const bool is_valid = words.Ok() && grant.tokens >= 0 &&
                        grant.tokens <= kMaxWanted && grant.wait.count() >= 0;
  return is_valid ? std::optional(grant) : std::nullopt;
}

}  // namespace

quota_exchange::quota_exchange(quota_exchange_options options)
    : options_(std::move(options)),
      peers_(options_.executor, backend_servers::kShortAnswers),
      owner_(options_.instance, options_.data_centre, options_.is_first_start),
      granter_(options_.limits) {}

net::awaitable<quota_result> quota_exchange::Admit(
    const config::organisation& limited, std::uint64_t version) {
  if (!limited.limit.IsLimited()) co_return quota_result{};
  const std::string& name = limited.name;
  const versioned_limit limit{.limit = limited.limit, .version = version};
  pool_.OnDemand(name, steady::now());
  const std::vector<std::string> owners = owner_.OwnersOf(name);
  for (auto owner = owners.begin(); owner != owners.end();) {
    const auto held = pool_.Take(name, steady::now());
    if (held) {
      Count(name, "admitted");
      co_return quota_result{.token_expires = held};
    }
    if (pool_.NoGrantUntil(name, *owner) > steady::now()) {
      ++owner;
      continue;
    }
    const auto asking = asking_.find(name);
    if (asking == asking_.end()) {
      co_await Refill(*owner, name, limit);
    } else {
      const auto answered = asking->second;
      boost::system::error_code ignored;
      co_await answered->async_wait(
          net::redirect_error(net::use_awaitable, ignored));
    }
  }
  co_return Refuse(name, owners);
}

net::awaitable<void> quota_exchange::Refill(const std::string& owner,
                                            std::string_view organisation,
                                            const versioned_limit& limit) {
  const auto answered = std::make_shared<net::steady_timer>(
      options_.executor, net::steady_timer::time_point::max());
  asking_.emplace(std::string(organisation), answered);
  const auto asked_at = steady::now();
  const int wanted = std::min(kMaxWanted, pool_.Wanted(organisation, asked_at));
  const auto grant = co_await Ask(owner, organisation, limit, wanted);
  const auto now = steady::now();
  if (!grant) {
    pool_.OnUnreachable(organisation, owner, now + kUnreachablePause);
  } else if (grant->tokens == 0) {
    pool_.OnNoGrant(organisation, owner,
                    now + std::max<base::duration>(grant->wait, kMinAskPause));
  } else {
    // Valid from when they may have been granted.
    pool_.OnGrant(organisation, grant->tokens,
                  asked_at + decisions::kQuotaTokenTime);
  }
  asking_.erase(std::string(organisation));
  answered->cancel();
}

quota_result quota_exchange::Refuse(std::string_view organisation,
                                    const std::vector<std::string>& owners) {
  using enum quota_result::decision;
  const auto now = steady::now();
  auto next_grant = now + kUnreachablePause;
  bool is_over_limit = false;
  for (const std::string& owner : owners) {
    next_grant = std::min(next_grant, pool_.NoGrantUntil(organisation, owner));
    is_over_limit = is_over_limit || pool_.HasAnswered(organisation, owner);
  }
  Count(organisation, is_over_limit ? "over_limit" : "unknown");
  return {.made = is_over_limit ? kOverLimit : kUnknown,
          .wait = std::chrono::duration_cast<base::duration>(
              std::max(next_grant, now) - now)};
}

void quota_exchange::PutBack(const config::organisation& limited,
                             const quota_result& given) {
  if (!given.token_expires) return;
  pool_.PutBack(limited.name, *given.token_expires);
}

net::awaitable<std::optional<quota_grant>> quota_exchange::Ask(
    const std::string& owner, std::string_view organisation,
    const versioned_limit& limit, int wanted) {
  if (owner == options_.instance) co_return Grant(organisation, limit, wanted);
  const auto& entries = options_.directory->Entries();
  const auto found = entries.find(owner);
  if (found == entries.end()) co_return std::nullopt;
  const decisions::server_entry entry = found->second;
  auto grant = co_await AskRemote(entry, organisation, limit, wanted);
  co_return grant;
}

std::optional<quota_grant> quota_exchange::Grant(std::string_view organisation,
                                                 const versioned_limit& limit,
                                                 int wanted) {
  const auto now = steady::now();
  const auto owned_since = owner_.OwnedSince(organisation, now);
  if (!owned_since) return std::nullopt;
  return granter_.Take({.organisation = organisation,
                        .limit = limit,
                        .wanted = wanted,
                        .owned_since = *owned_since},
                       now);
}

net::awaitable<std::optional<quota_grant>> quota_exchange::AskRemote(
    const decisions::server_entry& owner, std::string_view organisation,
    const versioned_limit& limit, int wanted) {
  http_request request(http::verb::get, kQuotaPath, 11);
  request.set(kQuotaHeader, EncodeAsk(organisation, limit, wanted));
  request.keep_alive(true);
  request.prepare_payload();
  const backend_servers::exchange_options options{
      .to = owner.gate,
      .deadline = steady::now() + kAskTimeout,
      .connect_timeout = kConnectTimeout};
  backend_servers::cancellation never;
  const auto ended =
      co_await backend_servers::Exchange(peers_, options, request, never);
  const bool is_answered = ended.end == exchange_outcome::kAnswered &&
                           ended.answer.result() == http::status::ok;
  if (!is_answered) co_return std::nullopt;
  co_return DecodeGrant(HeaderOf(ended.answer, kQuotaHeader));
}

http_response quota_exchange::Serve(const http_request& request) {
  http_response answer(http::status::ok, 11);
  const auto ask = DecodeAsk(HeaderOf(request, kQuotaHeader));
  if (!ask) {
    answer.result(http::status::bad_request);
  } else if (const auto grant =
                 Grant(ask->organisation, ask->limit, ask->wanted)) {
    word_writer words;
    words.Add(grant->tokens).Add(grant->wait);
    answer.set(kQuotaHeader, std::move(words).Text());
  } else {
    answer.result(http::status::not_found);
  }
  answer.prepare_payload();
  return answer;
}

void quota_exchange::OnDirectoryChange() {
  const auto now = steady::now();
  owner_.OnDirectory(*options_.directory, now);
  granter_.KeepOnly([&](std::string_view organisation) {
    return owner_.OwnedSince(organisation, now).has_value();
  });
}

void quota_exchange::Tick() {
  const auto now = steady::now();
  if (now < forgets_at_) return;
  forgets_at_ = now + kForgetPause;
  granter_.ForgetFull(now);
  pool_.ForgetIdle(now);
}

void quota_exchange::Count(std::string_view organisation,
                           std::string_view result) {
  if (!counted_.contains(organisation)) {
    if (counted_.size() < kMaxCounted) {
      counted_.emplace(organisation);
    } else {
      organisation = "others";
    }
  }
  std::string labels("organisation=\"");
  labels.append(organisation)
      .append("\",result=\"")
      .append(result)
      .append("\"");
  options_.metrics->Counter("fireflyspar_quota_total", labels)
      .fetch_add(1, std::memory_order_relaxed);
}

}  // namespace fireflyspar::proxy
