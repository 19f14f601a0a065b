#include "proxy/router.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <optional>
#include <utility>

#include "backend_servers/exchange.h"

namespace fireflyspar::proxy {
namespace {

using backend_servers::exchange_end;
using backend_servers::exchange_options;
using backend_servers::exchange_result;
using backend_servers::HeaderOf;
using backend_servers::http_request;
using backend_servers::http_response;
using base::error_kind;
using base::event_weight;
using decisions::gate_candidate;
using decisions::server_entry;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;
namespace http = backend_servers::http;

// The longest wait at a gate until one has been found full, as a multiple of
// the typical time at a server: a short wait costs less than another offer. At
// later gates the request waits for as long as it has time.
constexpr double kFirstWaitLimit = 0.3;

// A request is refused after this many offers to gates that were full.
constexpr int kMostFullGates = 5;

// Maximum number of offers in one attempt, including those to gates that can't
// be reached.
constexpr int kMostOffers = 8;

constexpr milliseconds kConnectTimeout{150};
constexpr milliseconds kDeadPeerTimeout{700};

// How long after the wait limit a gate's grant of a slot is still awaited.
constexpr milliseconds kGrantTimeout{400};

// How long after the deadline another proxy's response is still awaited.
constexpr milliseconds kAnswerGrace{120};

// How long a gate that reports itself closed is avoided, unless it gives a
// longer time.
constexpr milliseconds kClosedAvoidance{250};

// A route's typical time at a server before any response: the route's objective
// divided by kObjectivePart, but at least kFirstTypical.
constexpr int kObjectivePart = 3;
constexpr milliseconds kFirstTypical{50};

// Exponential smoothing of the typical time: one response has the weight 1 / n.
constexpr int kTypicalSmoothing = 16;

// Retry-After times: the lower bound, the default if there is no estimate, and
// the upper bound.
constexpr milliseconds kReturnSoonest{50};
constexpr milliseconds kReturnWithoutServer{300};
constexpr milliseconds kReturnLatest{1000};

constexpr unsigned kServerErrors = 500;
constexpr unsigned kGatewayTimeout = 504;

std::optional<milliseconds> ParseMilliseconds(std::string_view text) {
  std::int64_t number = 0;
  const char* const begin = text.data();
  const char* const end = begin + text.size();
  const auto parsed = std::from_chars(begin, end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end || number < 0) {
    return std::nullopt;
  }
  return milliseconds(number);
}

std::string HostOf(const http_request& request) {
  const std::string_view host = HeaderOf(request, "Host");
  return std::string(host.substr(0, host.find(':')));
}

std::string_view TargetOf(const http_request& request) {
  return backend_servers::ToView(request.target());
}

void SetRetryAfter(http_response& answer, base::duration wait) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  std::array<char, 32> text{};
  const int length =
      std::snprintf(text.data(), text.size(), "%.3f",
                    static_cast<double>(wait.count()) / kMicrosecondsPerSecond);
  answer.set(http::field::retry_after,
             std::string(text.data(), static_cast<std::size_t>(length)));
}

bool IsServerError(const gate_outcome& outcome) {
  return outcome.end == gate_end::kAnswered &&
         outcome.answer.result_int() >= kServerErrors &&
         outcome.answer.result_int() != kGatewayTimeout;
}

gate_outcome FromExchange(exchange_result ended) {
  if (ended.end == exchange_end::kAnswered) {
    return FromMessage(std::move(ended.answer));
  }
  if (ended.end == exchange_end::kCancelled) {
    return Cancelled();
  }
  if (!ended.sent) {
    gate_outcome lost =
        NotRun(error_kind::kPeerUnavailable, std::move(ended.detail));
    lost.is_unreachable = true;
    return lost;
  }
  const bool is_late = ended.end == exchange_end::kTimedOut;
  gate_outcome lost =
      Unknown(is_late ? error_kind::kDeadlinePassed : error_kind::kServerFailed,
              std::move(ended.detail));
  lost.is_unreachable = !is_late;
  return lost;
}

}  // namespace

router::router(router_options options)
    : options_(std::move(options)),
      pool_(options_.executor),
      budget_(options_.budget),
      reach_({.executor = options_.executor,
              .random = options_.random,
              .log = options_.log,
              .data_centre = options_.data_centre,
              .directory = options_.directory,
              .on_reached = [this](std::string_view instance) {
                choice_.OnReachable(instance);
              }}) {}

void router::SetConfiguration(config::mesh_configuration_ptr next) {
  routes_ = std::make_shared<const decisions::route_index>(std::move(next));
}

void router::OnDirectoryChange() {
  const auto& entries = options_.directory->Entries();
  budget_.SetProxies(static_cast<int>(entries.size()));
  for (const auto& [instance, entry] : entries) {
    decisions::server_info& seen = servers_seen_[instance];
    if (seen == entry.server) continue;
    seen = entry.server;
    choice_.Forget(instance);
  }
  std::erase_if(servers_seen_, [&entries](const auto& each) {
    return !entries.contains(each.first);
  });
}

net::awaitable<http_response> router::Route(served_call& call) {
  journey trip{.call = &call,
               .routes = routes_,
               .request_id = std::string(
                   HeaderOf(call.request, options_.headers.request_id)),
               .begun = steady::now()};
  if (!routes_) {
    co_return Refuse(call, error_kind::kNotReady, "no configuration yet");
  }
  trip.route = routes_->Find(HostOf(call.request), TargetOf(call.request));
  if (trip.route == nullptr) {
    co_return Refuse(call, error_kind::kNoSuchRoute, "no route matches");
  }
  trip.service = sharing_.Next(*trip.route);
  const auto requested_timeout =
      ParseMilliseconds(HeaderOf(call.request, options_.headers.deadline_ms));
  const milliseconds allowed =
      requested_timeout ? std::min(*requested_timeout, trip.route->timeout)
                        : trip.route->timeout;
  trip.deadline = trip.begun + allowed;
  const base::duration spent =
      requested_timeout ? patience_.Spent(trip.route->name, *requested_timeout)
                        : base::duration(0);
  trip.objective = trip.begun + trip.route->objective - spent;
  trip.is_call = IsCall(trip.request_id);
  if (is_ending_ && !trip.is_call) {
    co_return Refuse(call, error_kind::kDraining, "this proxy is ending");
  }
  backend_servers::DropConnectionHeaders(call.request.base());
  call.request.erase(http::field::expect);
  call.request.prepare_payload();
  gate_outcome outcome = co_await RunSomewhere(trip);
  http_response answer = Answer(trip, std::move(outcome));
  co_return answer;
}

// The id of a backend server's nested call is the id of the request that it
// runs for, followed by a dot and a suffix. That request must be running on
// this instance now, so that callers can't pass off their requests as nested
// calls.
bool router::IsCall(std::string_view request_id) const {
  const std::size_t dot = request_id.rfind('.');
  return dot != std::string_view::npos &&
         options_.local_gate->IsRunning(request_id.substr(0, dot));
}

net::awaitable<gate_outcome> router::RunSomewhere(journey& trip) {
  budget_.OnFirstSend(trip.service, steady::now());
  gate_outcome outcome;
  for (;;) {
    trip.refused.clear();
    trip.refusals = 0;
    trip.probes = 0;
    gate_outcome next = co_await OfferUntilTaken(trip);
    const bool is_repeat = trip.runs > 0;
    if (is_repeat && next.end == gate_end::kNotRun) {
      // No gate admitted the retry, so the previous attempt's outcome counts.
      co_return outcome;
    }
    outcome = std::move(next);
    if (outcome.end == gate_end::kNotRun) co_return outcome;
    ++trip.runs;
    if (!MayRepeat(trip, outcome)) co_return outcome;
  }
}

bool router::MayRepeat(const journey& trip, const gate_outcome& outcome) {
  const bool is_retryable_outcome =
      outcome.end == gate_end::kUnknown || IsServerError(outcome);
  if (!is_retryable_outcome || !trip.route->is_idempotent) return false;
  if (trip.runs >= trip.route->max_attempts) return false;
  if (trip.call->cancel->IsCancelled()) return false;
  const auto now = steady::now();
  if (now + Typical(trip) > trip.deadline) return false;
  return budget_.TryTake(trip.service, now);
}

// Offers the request to one gate after another until one admits it. At first it
// accepts only a short wait; once a gate was full, it accepts a long one at the
// gate where the wait is expected to be shortest.
net::awaitable<gate_outcome> router::OfferUntilTaken(journey& trip) {
  gate_outcome last = NotRun(error_kind::kNoServer, "no server is known");
  last.wait = kReturnWithoutServer;
  for (int offers = 0; offers < kMostOffers; ++offers) {
    if (trip.call->cancel->IsCancelled()) {
      last.end = gate_end::kCancelled;
      co_return last;
    }
    if (steady::now() >= trip.deadline) {
      last = NotRun(error_kind::kDeadlinePassed, "no time is left");
      co_return last;
    }
    const server_entry* to = ChooseGate(trip);
    if (to == nullptr) break;
    const bool may_wait = trip.probes > 0;
    const std::string instance = to->instance;
    gate_outcome outcome = co_await Offer(trip, *to, may_wait);
    if (outcome.end != gate_end::kNotRun) {
      trip.ran_on.insert(instance);
      co_return outcome;
    }
    ++trip.refusals;
    const bool is_full = outcome.reason == error_kind::kShed;
    // A gate that was full for a short wait may still be the best for a longer
    // one.
    if (!is_full || may_wait) trip.refused.insert(instance);
    if (is_full) {
      ++trip.probes;
      trip.least_wait = trip.least_wait.count() == 0
                            ? outcome.wait
                            : std::min(trip.least_wait, outcome.wait);
    }
    last = std::move(outcome);
    if (!is_full) last.wait = kReturnWithoutServer;
    if (last.has_reached_server) {
      // The server counts the next offer as a retry of this one.
      if (!budget_.TryTake(trip.service, steady::now())) break;
    } else if (trip.probes >= kMostFullGates) {
      break;
    }
  }
  co_return last;
}

// Returns the servers of the version that may still be offered the request.
// Those in data centres that are cut off are left out, unless all are.
std::vector<const server_entry*> router::UsableServers(
    const journey& trip, std::string_view version,
    base::steady_instant now) const {
  std::vector<const server_entry*> found;
  std::ranges::copy_if(options_.directory->Serving(trip.service),
                       std::back_inserter(found),
                       [&](const server_entry* each) {
                         return each->server.version == version &&
                                !trip.ran_on.contains(each->instance) &&
                                !trip.refused.contains(each->instance);
                       });
  const auto cut_off =
      std::ranges::partition(found, [&](const server_entry* each) {
        return !reach_.IsCutOff(each->data_centre, now);
      });
  const bool has_reachable = cut_off.begin() != found.begin();
  if (has_reachable) found.erase(cut_off.begin(), cut_off.end());
  return found;
}

const server_entry* router::ChooseGate(const journey& trip) {
  const auto now = steady::now();
  const std::string version = options_.trials->ChooseVersion(trip.service);
  auto servers = UsableServers(trip, version, now);
  if (servers.empty()) {
    const std::string other =
        options_.trials->OtherVersion(trip.service, version);
    if (!other.empty()) servers = UsableServers(trip, other, now);
  }
  std::vector<gate_candidate> candidates(servers.size());
  std::ranges::transform(
      servers, candidates.begin(), [this](const server_entry* each) {
        return gate_candidate{
            .instance = each->instance,
            .is_near = each->data_centre == options_.data_centre,
            .slots = each->server.slots};
      });
  const auto chosen =
      choice_.Choose(candidates, Typical(trip), options_.random, now);
  return chosen ? servers[chosen->index] : nullptr;
}

// Takes a copy of the entry because the directory may change while the offer is
// in progress.
net::awaitable<gate_outcome> router::Offer(journey& trip, server_entry entry,
                                           bool may_wait) {
  const auto now = steady::now();
  const auto left = [now](base::steady_instant until) {
    return std::chrono::duration_cast<base::duration>(until - now);
  };
  const call_offer offer{.service = entry.server.service,
                         .version = entry.server.version,
                         .route = trip.route->name,
                         .caller_service = options_.own_service(),
                         .is_idempotent = trip.route->is_idempotent,
                         .is_call = trip.is_call,
                         .rank = trip.route->rank,
                         .wait_limit = WaitLimit(trip, may_wait),
                         .left = left(trip.deadline),
                         .objective_left = left(trip.objective),
                         .typical = Typical(trip)};
  choice_.OnSend(entry.instance);
  gate_outcome outcome;
  if (entry.instance == options_.instance) {
    http_request request = trip.call->request;
    outcome = co_await options_.local_gate->Run(offer, request, nullptr,
                                                *trip.call->cancel);
  } else {
    outcome = co_await OfferToRemote(trip, entry, offer);
  }
  choice_.OnEnd(entry.instance);
  Learn(trip, entry, outcome);
  co_return outcome;
}

base::duration router::WaitLimit(const journey& trip, bool may_wait) const {
  if (may_wait) {
    return std::chrono::duration_cast<base::duration>(trip.deadline -
                                                      trip.begun);
  }
  return base::duration(static_cast<std::int64_t>(
      static_cast<double>(Typical(trip).count()) * kFirstWaitLimit));
}

net::awaitable<gate_outcome> router::OfferToRemote(journey& trip,
                                                   const server_entry& to,
                                                   const call_offer& offer) {
  http_request request = trip.call->request;
  request.set(kOfferHeader, ToText(offer));
  request.keep_alive(true);
  exchange_options options;
  options.to = to.gate;
  options.deadline = trip.deadline + kAnswerGrace;
  options.connect_timeout = kConnectTimeout;
  options.dead_peer_timeout = kDeadPeerTimeout;
  options.body_after_continue = !offer.is_idempotent && !request.body().empty();
  if (offer.wait_limit < offer.left) {
    options.continue_timeout =
        std::chrono::ceil<milliseconds>(offer.wait_limit) + kGrantTimeout;
  }
  exchange_result ended = co_await backend_servers::Exchange(
      pool_, options, request, *trip.call->cancel);
  gate_outcome outcome = FromExchange(std::move(ended));
  co_return outcome;
}

void router::Learn(const journey& trip, const server_entry& to,
                   const gate_outcome& outcome) {
  const auto now = steady::now();
  if (outcome.is_unreachable) {
    pool_.Drop(to.gate);
    choice_.OnUnreachable(to.instance);
    reach_.OnUnreachable(to, now);
    return;
  }
  if (outcome.end == gate_end::kCancelled) return;
  if (outcome.status) {
    reach_.OnAnswer(to.data_centre);
    const gate_status& status = *outcome.status;
    choice_.OnReport(to.instance, status.load, now);
    options_.trials->OnStatus(trip.service, trip.route->name, status);
    const bool is_latency_sample =
        outcome.end == gate_end::kAnswered &&
        outcome.answer.result_int() < kServerErrors &&
        !options_.trials->IsOnTrial(trip.service, status.version);
    if (is_latency_sample) {
      auto [typical, is_first] =
          typical_.try_emplace(trip.route->name, Typical(trip));
      typical->second += (status.took - typical->second) / kTypicalSmoothing;
    }
  }
  const bool is_closed = outcome.end == gate_end::kNotRun &&
                         (outcome.reason == error_kind::kNoServer ||
                          outcome.reason == error_kind::kDraining);
  if (is_closed) {
    const auto avoid = std::max<base::duration>(kClosedAvoidance, outcome.wait);
    choice_.OnClosed(to.instance, avoid, now);
  }
}

base::duration router::Typical(const journey& trip) const {
  const auto known = typical_.find(trip.route->name);
  if (known != typical_.end()) return known->second;
  const auto objective = trip.route->objective / kObjectivePart;
  return std::max<base::duration>(objective, kFirstTypical);
}

http_response router::Answer(const journey& trip, gate_outcome outcome) {
  http_response answer;
  if (outcome.end == gate_end::kAnswered) {
    answer = std::move(outcome.answer);
    backend_servers::DropConnectionHeaders(answer.base());
    LogAnswer(trip, outcome, answer.result_int());
    return answer;
  }
  error_kind reason = outcome.reason;
  if (outcome.end == gate_end::kNotRun) {
    // The request has certainly not run, so the caller may retry it, whatever
    // the reason.
    const bool is_late = reason == error_kind::kDeadlinePassed;
    if (!is_late && reason != error_kind::kDraining) reason = error_kind::kShed;
  } else if (reason != error_kind::kDeadlinePassed) {
    reason = trip.route->is_idempotent ? error_kind::kServerFailed
                                       : error_kind::kOutcomeUnknown;
  }
  const auto run = outcome.end == gate_end::kNotRun ? base::run_state::kNotRun
                                                    : base::run_state::kUnknown;
  answer = backend_servers::MakeRefusal(reason, outcome.detail, run);
  answer.set(options_.headers.request_id, trip.request_id);
  if (outcome.end == gate_end::kNotRun) {
    answer.result(http::status::service_unavailable);
    const base::duration hint =
        trip.least_wait.count() > 0 ? trip.least_wait : outcome.wait;
    const base::duration wait = std::clamp<base::duration>(
        hint.count() > 0 ? hint : kReturnWithoutServer, kReturnSoonest,
        kReturnLatest);
    SetRetryAfter(answer, wait);
  } else {
    answer.erase(http::field::retry_after);
  }
  LogAnswer(trip, outcome, answer.result_int());
  return answer;
}

http_response router::Refuse(const served_call& call, error_kind reason,
                             std::string_view detail) {
  http_response answer = backend_servers::MakeRefusal(reason, detail);
  const std::string_view id =
      HeaderOf(call.request, options_.headers.request_id);
  answer.set(options_.headers.request_id, backend_servers::ToBeast(id));
  if (reason == error_kind::kNotReady) {
    SetRetryAfter(answer, kReturnWithoutServer);
  } else if (reason == error_kind::kDraining) {
    SetRetryAfter(answer, kReturnSoonest);
  }
  options_.log->Write(
      event_weight::kFailure, "refused",
      {{"id", std::string(id)},
       {"host", HostOf(call.request)},
       {"reason", std::string(base::AnswerFor(reason).name)},
       {"version",
        routes_ ? std::to_string(routes_->Configuration().version) : ""}});
  options_.metrics
      ->Counter("fireflyspar_requests_total",
                "outcome=\"" + std::string(base::AnswerFor(reason).name) + "\"")
      .fetch_add(1, std::memory_order_relaxed);
  return answer;
}

void router::LogAnswer(const journey& trip, const gate_outcome& outcome,
                       unsigned status) {
  const auto took =
      std::chrono::duration_cast<base::duration>(steady::now() - trip.begun);
  const bool is_good =
      outcome.end == gate_end::kAnswered && status < kServerErrors;
  const std::string_view result = outcome.end == gate_end::kAnswered
                                      ? std::string_view("answered")
                                      : base::AnswerFor(outcome.reason).name;
  options_.metrics
      ->Counter("fireflyspar_requests_total",
                "outcome=\"" + std::string(result) + "\"")
      .fetch_add(1, std::memory_order_relaxed);
  options_.metrics->Histogram("fireflyspar_request_seconds").Record(took);
  std::string instances;
  for (const std::string& each : trip.ran_on) {
    if (!instances.empty()) instances.push_back(',');
    instances.append(each);
  }
  const auto weight = is_good ? event_weight::kSuccess : event_weight::kFailure;
  if (!options_.log->Takes(weight)) return;
  options_.log->Write(
      weight, "request",
      {{"id", trip.request_id},
       {"route", trip.route->name},
       {"service", trip.service},
       {"is_call", trip.is_call ? "1" : "0"},
       {"outcome", std::string(result)},
       {"status", std::to_string(status)},
       {"detail", outcome.detail},
       {"ran_on", instances},
       {"refusals", std::to_string(trip.refusals)},
       {"took_us", std::to_string(took.count())},
       {"version", std::to_string(trip.routes->Configuration().version)}});
}

}  // namespace fireflyspar::proxy
