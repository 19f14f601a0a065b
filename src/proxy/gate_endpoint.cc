#include "proxy/gate_endpoint.h"

#include <chrono>
#include <utility>

#include "proxy/deadline_notice.h"
#include "proxy/quota_exchange.h"
#include "proxy/suspect_exchange.h"
#include "proxy/suspect_headers.h"

namespace fireflyspar::proxy {

using backend_servers::http_response;
using base::error_kind;
namespace http = backend_servers::http;

net::awaitable<http_response> gate_endpoint::Serve(served_call& call) {
  const auto shared =
      ParseSharedPath(backend_servers::ToView(call.request.target()));
  if (shared) co_return options_.shared_objects(*shared);
  if (backend_servers::ToView(call.request.target()) == kQuotaPath) {
    co_return options_.quota(call.request);
  }
  if (backend_servers::ToView(call.request.target()) == kSuspectsPath) {
    if (call.read_body && !co_await call.read_body()) {
      co_return ToMessage(Cancelled());
    }
    co_return options_.suspects(call.request);
  }
  if (backend_servers::ToView(call.request.target()) == kDeadlinesPath) {
    co_return TakeDeadlines(call.request);
  }
  auto offer =
      ParseOffer(backend_servers::HeaderOf(call.request, kOfferHeader));
  if (!offer) {
    co_return ToMessage(
        NotRun(error_kind::kMalformedMessage, "the offer can't be read"));
  }
  ReadSuspect(call.request, *offer);
  http_response message = co_await RunOffer(*offer, call);
  co_return message;
}

http_response gate_endpoint::TakeDeadlines(
    const backend_servers::http_request& request) {
  const auto notice = ParseDeadlineNotice(request.body());
  http_response answer(notice ? http::status::ok : http::status::bad_request,
                       11);
  answer.prepare_payload();
  if (!notice) return answer;
  options_.local_gate->Shorten(notice->request_ids,
                               std::chrono::steady_clock::now() + notice->left);
  return answer;
}

net::awaitable<http_response> gate_endpoint::RunOffer(const call_offer& offer,
                                                      served_call& call) {
  // Reading a deferred body replaces the whole request, so the offer and the
  // Expect header have to be removed again afterwards.
  body_reader read_body;
  const auto remove_proxy_headers = [&call] {
    call.request.erase(kOfferHeader);
    call.request.erase(kSuspectHeader);
    call.request.erase(http::field::expect);
  };
  remove_proxy_headers();
  if (call.read_body) {
    read_body = [&call, &remove_proxy_headers]() -> net::awaitable<bool> {
      const bool is_whole = co_await call.read_body();
      remove_proxy_headers();
      co_return is_whole;
    };
  }
  gate_outcome outcome = co_await options_.local_gate->Run(
      offer, call.request, read_body, *call.cancel);
  co_return ToMessage(std::move(outcome));
}

}  // namespace fireflyspar::proxy
