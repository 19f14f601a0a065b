#include "callers/router.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <optional>
#include <utility>

#include "backend_servers/headers.h"
#include "decisions/routing.h"

namespace fireflyspar::callers {
namespace {

using backend_servers::gate_answer;
using backend_servers::HeaderOf;
using backend_servers::http_request;
using backend_servers::http_response;
using backend_servers::MakeRefusal;
using backend_servers::ToView;
using base::error_kind;
using config::visibility;
using std::chrono::milliseconds;
namespace http = backend_servers::http;

constexpr char kHiddenOrMissing[] = "no route matches this request";

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

// The header's number of milliseconds; nothing when it is missing, and a
// failure when it is no number.
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
  std::snprintf(text.data(), text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(random()),
                static_cast<unsigned long long>(random()));
  return text.data();
}

// The request as it goes on from here.
http_request Clean(http_request&& request, visibility listener) {
  http_request cleaned = std::move(request);
  backend_servers::DropConnectionHeaders(cleaned);
  cleaned.erase(http::field::expect);
  if (listener == visibility::kOutside) {
    backend_servers::DropHeadersWithPrefix(cleaned,
                                           backend_servers::kHeaderPrefix);
  }
  cleaned.version(11);
  cleaned.keep_alive(true);
  cleaned.prepare_payload();
  return cleaned;
}

http_response ToCaller(gate_answer answer) {
  if (answer.is_refusal) {
    return MakeRefusal(answer.refusal, answer.detail);
  }
  http_response response = std::move(answer.answer);
  backend_servers::DropConnectionHeaders(response);
  return response;
}

}  // namespace

net::awaitable<http_response> router::Route(incoming& call,
                                            visibility listener) {
  http_response answer;
  const decisions::fleet_view_ptr view = options_.view();
  if (finishing_) {
    answer = MakeRefusal(error_kind::kDraining, "this node is leaving");
    co_return answer;
  }
  if (!view || !view->configuration) {
    answer = MakeRefusal(error_kind::kNotReady,
                         "this node has no configuration yet");
    co_return answer;
  }
  const http_request& request = call.request;
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
    answer = MakeRefusal(error_kind::kNoSuchRoute, kHiddenOrMissing);
    co_return answer;
  }
  const auto asked = DeadlineHeader(request);
  if (!asked) {
    answer = MakeRefusal(error_kind::kBadRequest, asked.Failure().detail);
    co_return answer;
  }
  if (!traffic_.TryTakeCall(*service)) {
    answer = MakeRefusal(error_kind::kServiceOverLimit,
                         "the service's calls per second are used up");
    co_return answer;
  }
  const std::string caller = [&] {
    const std::string_view named =
        listener == visibility::kInside
            ? HeaderOf(request, backend_servers::kCallerHeader)
            : std::string_view();
    return named.empty() ? call.remote.address().to_string()
                         : std::string(named);
  }();
  if (!traffic_.EnterCaller(service->name, caller,
                            service->max_in_flight_per_caller)) {
    answer = MakeRefusal(error_kind::kCallerOverLimit,
                         "this caller has too many calls in flight");
    co_return answer;
  }
  const milliseconds allowed = TimeoutOf(*route, *service);
  const bool below_retry =
      listener == visibility::kInside &&
      !HeaderOf(request, backend_servers::kAttemptHeader).empty();
  routed_call routed{.view = view,
                     .service = service,
                     .route = route->name,
                     .at_most_once = route->at_most_once,
                     .may_retry = !below_retry,
                     .deadline = options_.clock() +
                                 std::min(allowed, asked->value_or(allowed)),
                     .request_id = NewRequestId(options_.random),
                     .request = Clean(std::move(call.request), listener),
                     .home = call.home,
                     .cancel = call.cancel};
  gate_answer ended = co_await dispatcher_.Dispatch(routed);
  traffic_.LeaveCaller(service->name, caller);
  answer = ToCaller(std::move(ended));
  co_return answer;
}

net::awaitable<http_response> router::RunAtGate(incoming& call) {
  http_request request = std::move(call.request);
  const std::string exchange(
      HeaderOf(request, backend_servers::kExchangeHeader));
  const auto left = DeadlineHeader(request);
  http_response answer;
  if (exchange.empty() || !left || !left->has_value()) {
    answer = MakeRefusal(error_kind::kMalformedMessage,
                         "not a request of another node");
    co_return answer;
  }
  const backend_servers::local_call local{
      .service =
          std::string(HeaderOf(request, backend_servers::kServiceHeader)),
      .version =
          std::string(HeaderOf(request, backend_servers::kVersionHeader)),
      .deadline = options_.clock() + **left};
  request.erase(backend_servers::kServiceHeader);
  request.erase(backend_servers::kVersionHeader);
  request.erase(backend_servers::kExchangeHeader);
  gate_answer ended;
  if (finishing_) {
    ended = backend_servers::RefusedByGate(error_kind::kDraining,
                                           "this node is leaving");
  } else {
    ended = co_await backend_servers::RunAtLocalServer(
        *options_.gate, options_.clock, call.home->connections, local, request,
        *call.cancel);
  }
  answer = backend_servers::ToMessage(std::move(ended));
  answer.set(backend_servers::kExchangeHeader, exchange);
  co_return answer;
}

}  // namespace fireflyspar::callers
