#include "callers/router.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <cinttypes>
#include <cstdio>
#include <optional>
#include <utility>

#include "backend_servers/headers.h"
#include "decisions/routing.h"

namespace fireflyspar::callers {
namespace {

using backend_servers::dispatch_result;
using backend_servers::HeaderOf;
using backend_servers::http_request;
using backend_servers::http_response;
using backend_servers::MakeRefusal;
using backend_servers::ToView;
using base::error_kind;
using config::visibility;
using std::chrono::milliseconds;
namespace http = backend_servers::http;

// Used for hidden and for missing routes, so that a caller can't tell them
// apart.
constexpr char kNoRouteDetail[] = "no route matches this request";

std::string_view PathOf(const http_request& request) {
  const std::string_view target = ToView(request.target());
  return target.substr(0, target.find('?'));
}

decisions::request_head HeadOf(const http_request& request) {
  return {.method = ToView(request.method_string()),
          .path = PathOf(request),
          .header = [&request](std::string_view name) {
            return HeaderOf(request, name);
          }};
}

// Returns the value of the deadline header; nothing when it is missing, and a
// failure when it is not a number of milliseconds.
base::result<std::optional<milliseconds>> DeadlineHeader(
    const http_request& request) {
  const std::string_view text =
      HeaderOf(request, backend_servers::kDeadlineHeader);
  if (text.empty()) return std::optional<milliseconds>();
  std::uint32_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    return base::Fail(error_kind::kBadRequest,
                      std::string(backend_servers::kDeadlineHeader) + " is '" +
                          std::string(text) + "', expected milliseconds");
  }
  return std::optional(milliseconds(value));
}

milliseconds TimeoutOf(const config::route& route,
                       const config::service& service) {
  return route.timeout.count() > 0 ? route.timeout : service.timeout;
}

std::string NewRequestId(const base::random_hook& random) {
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64 "%016" PRIx64, random(),
                random());
  return text.data();
}

// Headers that only nodes may set.
constexpr std::array kNodeHeaders = {
    backend_servers::kHomeHeader,     backend_servers::kGuardHeader,
    backend_servers::kServiceHeader,  backend_servers::kVersionHeader,
    backend_servers::kRouteHeader,    backend_servers::kRequestIdHeader,
    backend_servers::kExchangeHeader, backend_servers::kGateLoadHeader,
    backend_servers::kRefusalHeader,  backend_servers::kRunHeader};

void DropNodeHeaders(http::fields& headers) {
  for (const char* name : kNodeHeaders) headers.erase(name);
}

// Returns the request as it is forwarded: without headers that concern the
// caller's connection or that only nodes may set, and from a caller outside
// without any header that has the system's prefix.
http_request ToForwardedRequest(http_request&& request, visibility listener) {
  http_request cleaned = std::move(request);
  backend_servers::DropConnectionHeaders(cleaned);
  cleaned.erase(http::field::expect);
  if (listener == visibility::kOutside) {
    backend_servers::DropHeadersWithPrefix(cleaned,
                                           backend_servers::kHeaderPrefix);
  }
  DropNodeHeaders(cleaned);
  cleaned.version(11);
  cleaned.keep_alive(true);
  cleaned.prepare_payload();
  return cleaned;
}

http_response ToCaller(dispatch_result answer) {
  if (answer.is_refusal) {
    return MakeRefusal(answer.refusal, answer.detail, answer.run);
  }
  http_response response = std::move(answer.answer);
  backend_servers::DropConnectionHeaders(response);
  DropNodeHeaders(response);
  return response;
}

// Returns the caller that the limits apply to: the name that it gave on the
// inside listener, otherwise its IP address.
std::string CallerOf(const incoming_request& call, visibility listener) {
  const std::string_view named =
      listener == visibility::kInside
          ? HeaderOf(call.request, backend_servers::kCallerHeader)
          : std::string_view();
  return named.empty() ? call.remote.address().to_string() : std::string(named);
}

bool IsCallerRetry(const http_request& request) {
  return !HeaderOf(request, backend_servers::kAttemptHeader).empty();
}

// Returns the id that the caller gave to a request which must not be repeated,
// if it gave one.
base::result<std::optional<decisions::request_id>> RequestIdOf(
    const config::route& route, const http_request& request) {
  const std::string_view text =
      HeaderOf(request, backend_servers::kIdempotencyHeader);
  if (!route.at_most_once || text.empty()) {
    return std::optional<decisions::request_id>();
  }
  const auto id = decisions::ParseRequestId(text);
  if (!id) return id.Failure();
  return std::optional(*id);
}

// Refuses a call that was not dispatched. If the request has an id, an earlier
// attempt with it may have run.
http_response RefuseCall(error_kind kind, std::string_view detail,
                         bool has_request_id) {
  const base::run_state run = has_request_id ? base::run_state::kUnknown
                                             : base::ErrorInfoFor(kind).state;
  return MakeRefusal(kind, detail, run);
}

}  // namespace

net::awaitable<http_response> router::Route(incoming_request& call,
                                            visibility listener) {
  const base::instant started_at = options_.clock();
  http_response answer = co_await HandleRequest(call, listener);
  call_counters& counters =
      listener == visibility::kOutside ? outside_ : inside_;
  counters.Record(answer.result_int(), options_.clock() - started_at);
  co_return answer;
}

net::awaitable<http_response> router::HandleRequest(incoming_request& call,
                                                    visibility listener) {
  http_response answer;
  const http_request& request = call.request;
  const bool may_have_request_id =
      !HeaderOf(request, backend_servers::kIdempotencyHeader).empty();
  const decisions::fleet_view_ptr view = options_.view();
  if (finishing_) {
    answer = RefuseCall(error_kind::kDraining, "this node is leaving",
                        may_have_request_id);
    co_return answer;
  }
  if (!view || !view->configuration) {
    answer =
        RefuseCall(error_kind::kNotReady, "this node has no configuration yet",
                   may_have_request_id);
    co_return answer;
  }
  if (!decisions::IsPlainPath(PathOf(request))) {
    answer = MakeRefusal(error_kind::kBadRequest, "the path is not plain");
    co_return answer;
  }
  const config::preset& preset = view->configuration->content;
  const config::route* route =
      decisions::MatchRoute(preset, HeadOf(request), listener);
  const config::service* service =
      route == nullptr ? nullptr
                       : decisions::FindService(preset, route->service);
  if (service == nullptr) {
    answer = MakeRefusal(error_kind::kNoSuchRoute, kNoRouteDetail);
    co_return answer;
  }
  const auto requested_timeout = DeadlineHeader(request);
  if (!requested_timeout) {
    answer = MakeRefusal(error_kind::kBadRequest,
                         requested_timeout.Failure().detail);
    co_return answer;
  }
  const auto id = RequestIdOf(*route, request);
  if (!id) {
    answer = MakeRefusal(error_kind::kBadRequest, id.Failure().detail);
    co_return answer;
  }
  const bool has_request_id = id->has_value();
  if (!traffic_.TryTakeRateToken(*service)) {
    answer = RefuseCall(error_kind::kServiceOverLimit,
                        "the service's calls per second are used up",
                        has_request_id);
    co_return answer;
  }
  const std::string caller = CallerOf(call, listener);
  if (!traffic_.TryAcquireCallerSlot(service->name, caller,
                                     service->max_in_flight_per_caller)) {
    answer =
        RefuseCall(error_kind::kCallerOverLimit,
                   "this caller has too many calls in flight", has_request_id);
    co_return answer;
  }
  const milliseconds max_timeout = TimeoutOf(*route, *service);
  const bool is_caller_retry =
      listener == visibility::kInside && IsCallerRetry(request);
  routed_call routed{
      .view = view,
      .service = service,
      .route = route->name,
      .at_most_once = route->at_most_once,
      .may_retry = !is_caller_retry,
      .deadline =
          options_.clock() +
          std::min(max_timeout, requested_timeout->value_or(max_timeout)),
      .request_id =
          has_request_id ? (*id)->text : NewRequestId(options_.random),
      .request = ToForwardedRequest(std::move(call.request), listener),
      .assigned_worker = call.assigned_worker,
      .cancel = call.cancel};
  dispatch_result result = co_await RunRouted(routed, caller, *id);
  answer = ToCaller(std::move(result));
  co_return answer;
}

net::awaitable<dispatch_result> router::RunRouted(
    routed_call& call, const std::string& caller,
    const std::optional<decisions::request_id>& id) {
  dispatch_result result;
  if (id) {
    result = co_await claim_coordinator_.Route(call, *id);
  } else {
    result = co_await dispatcher_.Dispatch(call);
  }
  traffic_.ReleaseCallerSlot(call.service->name, caller);
  co_return result;
}

net::awaitable<http_response> router::HandleGateRequest(
    incoming_request& call) {
  const std::string exchange(
      HeaderOf(call.request, backend_servers::kExchangeHeader));
  const auto time_left = DeadlineHeader(call.request);
  http_response answer;
  if (exchange.empty() || !time_left || !time_left->has_value()) {
    answer = MakeRefusal(error_kind::kMalformedMessage,
                         "not a request of another node");
    co_return answer;
  }
  call.request.erase(backend_servers::kExchangeHeader);
  dispatch_result result =
      co_await RunForNode(call, options_.clock() + **time_left);
  answer = backend_servers::ToMessage(std::move(result));
  answer.set(backend_servers::kExchangeHeader, exchange);
  co_return answer;
}

net::awaitable<dispatch_result> router::RunForNode(incoming_request& call,
                                                   base::instant deadline) {
  dispatch_result result;
  http_request& request = call.request;
  const auto has_header = [&request](const char* name) {
    return !HeaderOf(request, name).empty();
  };
  if (has_header(backend_servers::kGuardHeader)) {
    // A leaving node still answers as a guard, since its claims remain valid.
    result = HoldAsGuard(request);
    co_return result;
  }
  const bool as_home = has_header(backend_servers::kHomeHeader);
  if (finishing_) {
    result = backend_servers::MakeRefusedResult(error_kind::kDraining,
                                                "this node is leaving");
    if (as_home) result.run = base::run_state::kUnknown;
    co_return result;
  }
  if (as_home) {
    result = co_await RunAsHome(call, deadline);
    co_return result;
  }
  const backend_servers::local_call local{
      .service =
          std::string(HeaderOf(request, backend_servers::kServiceHeader)),
      .version =
          std::string(HeaderOf(request, backend_servers::kVersionHeader)),
      .deadline = deadline};
  request.erase(backend_servers::kServiceHeader);
  request.erase(backend_servers::kVersionHeader);
  result = co_await backend_servers::RunAtLocalServer(
      *options_.gate, options_.clock, call.assigned_worker->connections, local,
      request, *call.cancel);
  co_return result;
}

net::awaitable<dispatch_result> router::RunAsHome(incoming_request& call,
                                                  base::instant deadline) {
  http_request& request = call.request;
  const decisions::fleet_view_ptr view = options_.view();
  const auto id = decisions::ParseRequestId(
      HeaderOf(request, backend_servers::kHomeHeader));
  const bool is_ready = view && view->configuration;
  const config::preset* preset =
      is_ready ? &view->configuration->content : nullptr;
  const auto route = [&]() -> const config::route* {
    if (preset == nullptr) return nullptr;
    const auto found = std::ranges::find(
        preset->routes, HeaderOf(request, backend_servers::kRouteHeader),
        &config::route::name);
    return found == preset->routes.end() ? nullptr : &*found;
  }();
  const config::service* service =
      route == nullptr ? nullptr
                       : decisions::FindService(*preset, route->service);
  if (service == nullptr || !id) {
    dispatch_result refused = backend_servers::MakeRefusedResult(
        error_kind::kClaimHolderUnavailable,
        "the keeper does not know the route");
    refused.run = base::run_state::kUnknown;
    co_return refused;
  }
  routed_call routed{.view = view,
                     .service = service,
                     .route = route->name,
                     .at_most_once = true,
                     .may_retry = !IsCallerRetry(request),
                     .deadline = deadline,
                     .request_id = id->text,
                     .request = std::move(request),
                     .assigned_worker = call.assigned_worker,
                     .cancel = call.cancel};
  routed.request.erase(backend_servers::kHomeHeader);
  routed.request.erase(backend_servers::kRouteHeader);
  dispatch_result result = co_await claim_coordinator_.RunAsHome(routed, *id);
  co_return result;
}

dispatch_result router::HoldAsGuard(const http_request& request) {
  const auto id = decisions::ParseRequestId(
      HeaderOf(request, backend_servers::kIdempotencyHeader));
  if (!id) {
    return backend_servers::MakeRefusedResult(error_kind::kMalformedMessage,
                                              id.Failure().detail);
  }
  return claim_coordinator_.HoldAsGuard(
      *id, HeaderOf(request, backend_servers::kGuardHeader));
}

}  // namespace fireflyspar::callers
