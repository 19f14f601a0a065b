#include "proxy/router.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <optional>
#include <utility>

#include "proxy/body_loan.h"
#include "proxy/header_values.h"
#include "proxy/identify_request.h"
#include "proxy/suspect_headers.h"
#include "proxy/suspect_text.h"

namespace fireflyspar::proxy {
namespace {

using backend_servers::HeaderOf;
using backend_servers::http_request;
using backend_servers::http_response;
using base::error_kind;
using decisions::gate_candidate;
using decisions::server_entry;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;
namespace http = backend_servers::http;

// The longest wait at a gate while another one may have a free slot, as a
// multiple of the typical time at a server: a short wait costs less than
// another offer.
constexpr double kFirstWaitLimit = 0.3;

// Maximum number of offers in one attempt, including those to gates that can't
// be reached.
constexpr int kMaxOffersPerAttempt = 8;

// How long a gate that reports itself closed is avoided, unless it gives a
// longer time.
constexpr milliseconds kClosedAvoidance{250};

std::string_view TargetOf(const http_request& request) {
  return backend_servers::ToView(request.target());
}

}  // namespace

router::router(router_options options)
    : options_(std::move(options)),
      gates_(options_.executor, options_.answers),
      deadlines_(options_.executor),
      answers_({.headers = options_.headers,
                .metrics = options_.metrics,
                .log = options_.log}),
      calls_(&options_.local_gate->Runs(), steady::now()),
      access_({.headers = options_.headers,
               .is_configuration_fresh = options_.is_configuration_fresh}),
      budget_(options_.budget, steady::now()),
      reachability_({.executor = options_.executor,
                     .random = options_.random,
                     .log = options_.log,
                     .data_centre = options_.data_centre,
                     .directory = options_.directory,
                     .on_reached = [this](std::string_view instance) {
                       choice_.OnReachable(instance);
                     }}) {}

void router::SetConfiguration(config::mesh_configuration_ptr next) {
  routes_ = std::make_shared<const decisions::route_index>(std::move(next));
  calls_.SetConfiguration(routes_->Configuration());
  access_.SetConfiguration(routes_->Configuration());
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
  notices_.KeepOnly(*options_.directory);
}

void router::AnswerBy(base::steady_instant end) {
  end_ = end;
  open_.Shorten(end_);
  TellGates();
}

void router::TellGates() {
  const auto left = std::chrono::duration_cast<base::duration>(
      std::max(end_ - steady::now(), steady::duration(0)));
  for (const auto& [gate, request_ids] : open_.WithOutdatedGate()) {
    if (gate.is_local) {
      options_.local_gate->Shorten(request_ids, end_);
    } else {
      deadlines_.Send(gate.address, {.left = left, .request_ids = request_ids});
    }
  }
}

net::awaitable<http_response> router::Route(served_call& call) {
  request_context context{
      .call = &call, .routes = routes_, .begun = steady::now()};
  context.open.id = HeaderOf(call.request, options_.headers.request_id);
  const open_requests::entry entry(open_, context.open, *call.cancel);
  if (!routes_) {
    co_return answers_.Refuse(call.request, error_kind::kNotReady,
                              "no configuration yet", 0);
  }
  context.route = routes_->Find(backend_servers::HostOf(call.request),
                                TargetOf(call.request));
  if (context.route == nullptr) {
    co_return answers_.Refuse(call.request, error_kind::kNoSuchRoute,
                              "no route matches", Version());
  }
  if (context.route->targets.empty()) {
    co_return answers_.Refuse(call.request, error_kind::kNotReady,
                              "the route can't be read", Version());
  }
  const access_result access = CheckAccess(context);
  if (access.refusal) {
    co_return answers_.Refuse(call.request, *access.refusal,
                              "the key is of no organisation", Version());
  }
  context.priority =
      access.organisation == nullptr
          ? context.route->priority
          : decisions::CombinedPriority(access.organisation->priority,
                                        context.route->priority);
  context.service = target_selector_.Next(*context.route);
  const auto requested_timeout =
      ParseMilliseconds(HeaderOf(call.request, options_.headers.deadline_ms));
  const milliseconds allowed =
      requested_timeout ? std::min(*requested_timeout, context.route->timeout)
                        : context.route->timeout;
  context.open.deadline =
      std::min<base::steady_instant>(context.begun + allowed, end_);
  const base::duration spent =
      requested_timeout ? caller_timeouts_.EstimateElapsed(context.route->name,
                                                           *requested_timeout)
                        : base::duration(0);
  context.objective = context.begun + context.route->objective - spent;
  if (is_draining_ && !context.is_nested_call) {
    co_return answers_.Refuse(call.request, error_kind::kDraining,
                              "this proxy is ending", Version());
  }
  const quota_result quota = co_await TakeQuota(context, access.organisation);
  if (quota.made != quota_result::decision::kAdmitted) {
    co_return RefuseOverLimit(call.request, quota);
  }
  backend_servers::DropConnectionHeaders(call.request.base());
  call.request.erase(http::field::expect);
  call.request.erase(kSuspectHeader);
  call.request.prepare_payload();
  gate_outcome outcome = co_await RunWithRetries(context);
  if (quota.token_expires && outcome.end == gate_outcome_kind::kNotRun) {
    options_.quota->PutBack(*access.organisation, quota);
  }
  http_response answer = answers_.Answer(ReportOf(context), std::move(outcome));
  co_return answer;
}

net::awaitable<quota_result> router::TakeQuota(
    const request_context& context, const config::organisation* organisation) {
  const bool may_be_limited =
      organisation != nullptr && options_.quota != nullptr;
  if (!may_be_limited) co_return quota_result{};
  quota_result taken = co_await options_.quota->Admit(
      *organisation, context.routes->Configuration().version);
  co_return taken;
}

http_response router::RefuseOverLimit(const http_request& request,
                                      const quota_result& quota) {
  const bool is_known = quota.made == quota_result::decision::kOverLimit;
  std::string detail(is_known ? "over the limit of "
                              : "nobody can tell the use of the limit of ");
  detail.append(HeaderOf(request, options_.headers.organisation));
  return answers_.Refuse(
      request, is_known ? error_kind::kCallerOverLimit : error_kind::kNotReady,
      detail, Version(), quota.wait);
}

std::uint64_t router::Version() const {
  return routes_ ? routes_->Configuration().version : 0;
}

request_report router::ReportOf(const request_context& context) {
  return {.request_id = context.open.id,
          .route = context.route,
          .service = context.service,
          .is_nested_call = context.is_nested_call,
          .begun = context.begun,
          .ran_on = &context.ran_on,
          .refusals = context.offers.Refusals(),
          .least_wait = context.offers.LeastWait(),
          .version = context.routes->Configuration().version};
}

access_result router::CheckAccess(request_context& context) const {
  const request_origin origin = calls_.OriginOf(context.open.id, steady::now());
  context.is_nested_call = origin == request_origin::kServer;
  access_result access = access_.Check(context.call->request, *context.route,
                                       context.is_nested_call);
  const bool may_be_call = access.refusal == error_kind::kUnknownKey &&
                           origin == request_origin::kUnclear;
  if (may_be_call) access.refusal = error_kind::kNotReady;
  return access;
}

net::awaitable<gate_outcome> router::RunWithRetries(request_context& context) {
  budget_.OnFirstAttempt(context.service, steady::now());
  gate_outcome outcome;
  for (;;) {
    context.offers = {};
    gate_outcome next = co_await OfferUntilAdmitted(context);
    const bool is_retry = context.runs > 0;
    if (is_retry && next.end == gate_outcome_kind::kNotRun) {
      // No gate admitted the retry, so the previous attempt's outcome counts.
      co_return outcome;
    }
    outcome = std::move(next);
    if (outcome.end == gate_outcome_kind::kNotRun) co_return outcome;
    ++context.runs;
    if (!MayRetry(context, outcome)) co_return outcome;
  }
}

const decisions::suspect* router::FindSuspectOf(
    request_context& context) const {
  const std::string own_service = options_.own_service();
  const std::string_view caller =
      CallerOf(context.call->request, context.is_nested_call, own_service,
               options_.headers);
  return FindSuspect(options_.local_gate->Suspects(), context.service, caller,
                     context.call->request, context.identity);
}

bool router::IsWithheld(request_context& context,
                        std::string_view version) const {
  const decisions::suspect* const known = FindSuspectOf(context);
  return known != nullptr && decisions::Judge(*known, version, steady::now()) ==
                                 decisions::suspicion::kWithheld;
}

gate_outcome router::RefuseWithheld(request_context& context) const {
  gate_outcome refused =
      NotRun(error_kind::kShed, "servers ended under this request");
  refused.refusal = decisions::suspect_refusal::kWithheld;
  const decisions::suspect* const known = FindSuspectOf(context);
  if (known == nullptr) return refused;
  refused.wait = TimeLeft(*known, steady::now());
  CountWithheld(*options_.metrics, "router");
  LogWithheld(*options_.log, context.open.id, *known);
  return refused;
}

bool router::MayRetry(request_context& context, const gate_outcome& outcome) {
  const bool is_retryable_outcome =
      outcome.end == gate_outcome_kind::kUnknown || IsServerError(outcome);
  if (!is_retryable_outcome || !context.route->is_idempotent) return false;
  if (context.runs >= context.route->max_attempts) return false;
  if (context.open.cancel.IsCancelled()) return false;
  const auto now = steady::now();
  const auto expected_end = now + typical_durations_.Of(*context.route);
  if (expected_end > context.open.deadline) return false;
  const std::string version =
      options_.rollout_states->ChooseVersion(context.service);
  if (IsWithheld(context, version)) return false;
  return budget_.TryTake(context.service, now);
}

// Offers the request to one gate after another until one admits it, each time
// to the one where the wait is expected to be shortest.
net::awaitable<gate_outcome> router::OfferUntilAdmitted(
    request_context& context) {
  gate_outcome last = NotRun(error_kind::kNoServer, "no server is known");
  last.wait = kNoServerRetryAfter;
  for (int offers = 0; offers < kMaxOffersPerAttempt; ++offers) {
    if (context.call->cancel->IsCancelled()) {
      last.end = gate_outcome_kind::kCancelled;
      co_return last;
    }
    if (context.open.cancel.IsCancelled()) {
      co_return NotRun(error_kind::kDraining, "this proxy is ending");
    }
    if (steady::now() >= context.open.deadline) {
      last = NotRun(error_kind::kDeadlinePassed, "no time is left");
      co_return last;
    }
    const std::string version =
        options_.rollout_states->ChooseVersion(context.service);
    if (IsWithheld(context, version)) co_return RefuseWithheld(context);
    const server_entry* to = ChooseGate(context, version);
    if (to == nullptr) break;
    const std::string instance = to->instance;
    gate_outcome outcome = co_await Offer(context, *to);
    if (outcome.end != gate_outcome_kind::kNotRun) {
      context.ran_on.insert(instance);
      co_return outcome;
    }
    const bool must_stop =
        outcome.refusal == decisions::suspect_refusal::kWithheld ||
        outcome.refusal == decisions::suspect_refusal::kRunsAlready;
    if (must_stop) {
      context.offers.OnPassedOver();
      co_return outcome;
    }
    if (outcome.refusal == decisions::suspect_refusal::kNotTriedHere) {
      context.offers.OnPassedOver();
      last = std::move(outcome);
      continue;
    }
    const bool is_full = outcome.reason == error_kind::kShed;
    if (is_full) {
      context.offers.OnFull(instance, outcome.wait);
    } else {
      context.offers.OnRefused(instance);
    }
    last = std::move(outcome);
    if (!is_full) last.wait = kNoServerRetryAfter;
    if (last.refused_by_server) {
      // The server counts the next offer as a retry of this one.
      if (!budget_.TryTake(context.service, steady::now())) break;
    } else if (context.offers.IsExhausted()) {
      break;
    }
  }
  co_return last;
}

// Returns the servers of the version that may still be offered the request.
// Those in data centres that are cut off are left out, unless all are.
std::vector<const server_entry*> router::UsableServers(
    const request_context& context, std::string_view version,
    base::steady_instant now) const {
  std::vector<const server_entry*> found;
  std::ranges::copy_if(options_.directory->Serving(context.service),
                       std::back_inserter(found),
                       [&](const server_entry* each) {
                         return each->server.version == version &&
                                !context.ran_on.contains(each->instance) &&
                                !context.offers.IsRefusedBy(each->instance) &&
                                !options_.is_evacuated(each->data_centre) &&
                                !notices_.IsLeaving(*each);
                       });
  const auto cut_off =
      std::ranges::partition(found, [&](const server_entry* each) {
        return !reachability_.IsCutOff(each->data_centre, now);
      });
  const bool has_reachable = cut_off.begin() != found.begin();
  if (has_reachable) found.erase(cut_off.begin(), cut_off.end());
  return found;
}

const server_entry* router::ChooseGate(request_context& context,
                                       const std::string& version) {
  const auto now = steady::now();
  auto servers = UsableServers(context, version, now);
  if (servers.empty()) {
    const std::string other =
        options_.rollout_states->FallbackVersion(context.service, version);
    if (!other.empty()) servers = UsableServers(context, other, now);
  }
  context.is_trial = false;
  if (servers.empty()) return nullptr;
  const decisions::suspect* const known = FindSuspectOf(context);
  const auto state =
      known == nullptr
          ? decisions::suspicion::kNone
          : decisions::Judge(*known, servers.front()->server.version, now);
  if (state == decisions::suspicion::kWithheld) return nullptr;
  context.is_trial = state != decisions::suspicion::kNone;
  // One that is only suspected may go anywhere if the first gate is full.
  const bool may_go_anywhere = state == decisions::suspicion::kNone ||
                               (state == decisions::suspicion::kSuspected &&
                                context.offers.HasFoundFullGate());
  if (may_go_anywhere) return ChooseAmong(context, servers, now);
  for (const server_entry* each : TrialOrder(*known, servers)) {
    const server_entry* const chosen =
        ChooseAmong(context, std::span(&each, 1), now);
    if (chosen != nullptr) return chosen;
  }
  return nullptr;
}

const server_entry* router::ChooseAmong(
    request_context& context, std::span<const server_entry* const> servers,
    base::steady_instant now) {
  std::vector<gate_candidate> candidates(servers.size());
  std::ranges::transform(
      servers, candidates.begin(), [this](const server_entry* each) {
        return gate_candidate{
            .instance = each->instance,
            .is_near = each->data_centre == options_.data_centre,
            .slots = each->server.slots};
      });
  const std::uint64_t body_bytes = context.call->request.body().size();
  const decisions::choice_request wanted{
      .typical_duration = typical_durations_.Of(*context.route),
      .body_bytes = body_bytes >= kLargeBodyBytes ? body_bytes : 0};
  const auto chosen = choice_.Choose(candidates, wanted, options_.random, now);
  if (!chosen) return nullptr;
  context.offers.OnChoice(chosen->is_any_expected_free);
  return servers[chosen->index];
}

// Takes a copy of the entry because the directory may change while the offer is
// in progress.
net::awaitable<gate_outcome> router::Offer(request_context& context,
                                           server_entry entry) {
  const auto now = steady::now();
  const auto left = [now](base::steady_instant until) {
    return std::chrono::duration_cast<base::duration>(until - now);
  };
  const decisions::suspect* const known = FindSuspectOf(context);
  const call_offer offer{
      .service = entry.server.service,
      .version = entry.server.version,
      .route = context.route->name,
      .caller_service = options_.own_service(),
      .is_idempotent = context.route->is_idempotent,
      .is_nested_call = context.is_nested_call,
      .priority = context.priority,
      .wait_limit = WaitLimit(context),
      .left = left(context.open.deadline),
      .time_to_objective = left(context.objective),
      .typical_duration = typical_durations_.Of(*context.route),
      .body_bytes = context.call->request.body().size(),
      .told = notices_.Find(entry),
      .suspect = known == nullptr ? std::nullopt : std::optional(*known),
      .is_trial = context.is_trial,
      .is_local = entry.instance == options_.instance};
  choice_.OnSend(entry.instance, offer.body_bytes);
  gate_outcome outcome;
  {
    http_request request(context.call->request.base());
    const body_loan lent(context.call->request, request);
    const offer_in_progress in_progress(
        context.open, {.is_local = offer.is_local, .address = entry.gate});
    if (offer.is_local) {
      outcome = co_await options_.local_gate->Run(offer, request, nullptr,
                                                  context.open.cancel);
    } else {
      outcome =
          co_await gates_.Offer(entry.gate, offer, request,
                                context.open.deadline, context.open.cancel);
    }
  }
  choice_.OnEnd(entry.instance);
  RecordOutcome(context, entry, outcome);
  co_return outcome;
}

base::duration router::WaitLimit(const request_context& context) const {
  if (context.offers.MayWait()) {
    return std::chrono::duration_cast<base::duration>(context.open.deadline -
                                                      context.begun);
  }
  return base::duration(static_cast<std::int64_t>(
      static_cast<double>(typical_durations_.Of(*context.route).count()) *
      kFirstWaitLimit));
}

void router::RecordOutcome(const request_context& context,
                           const server_entry& to,
                           const gate_outcome& outcome) {
  const auto now = steady::now();
  const bool is_remote = to.instance != options_.instance;
  if (is_remote && outcome.suspect) {
    options_.local_gate->Suspects().Merge(*outcome.suspect, now);
  }
  if (outcome.is_unreachable) {
    gates_.CloseIdle(to.gate);
    choice_.OnUnreachable(to.instance);
    reachability_.OnUnreachable(to, now);
    return;
  }
  if (outcome.end == gate_outcome_kind::kCancelled) return;
  if (outcome.status) {
    reachability_.OnAnswer(to.data_centre);
    const gate_status& status = *outcome.status;
    if (is_remote) {
      options_.on_peer_holds(to, status.held);
    }
    notices_.Put(to.instance, status.told);
    choice_.OnReport(to.instance, status.load, now);
    options_.rollout_states->OnStatus(context.service, context.route->name,
                                      status);
    const bool is_latency_sample =
        outcome.end == gate_outcome_kind::kAnswered &&
        outcome.answer.result_int() < kFirstServerErrorStatus &&
        !options_.rollout_states->IsUnproven(context.service, status.version);
    if (is_latency_sample) {
      typical_durations_.Record(*context.route, status.took);
    }
  }
  const bool is_closed = outcome.end == gate_outcome_kind::kNotRun &&
                         (outcome.reason == error_kind::kNoServer ||
                          outcome.reason == error_kind::kDraining);
  if (is_closed) {
    const auto avoid = std::max<base::duration>(kClosedAvoidance, outcome.wait);
    choice_.OnClosed(to.instance, avoid, now);
  }
}

}  // namespace fireflyspar::proxy
