#include "app/server_reports.h"

#include <chrono>
#include <string>

#include "app/plain_answer.h"

namespace fireflyspar::app {
namespace {

using backend_servers::http_response;
using base::event_priority;
using std::chrono::milliseconds;
namespace http = backend_servers::http;

// Servers give an acknowledgement up after a second.
constexpr milliseconds kSettleLimit{300};

}  // namespace

net::awaitable<http_response> server_reports::Serve(proxy::served_call& call) {
  const auto decoded = options_.adapter->decode_server_message(call.request);
  if (!decoded) {
    const bool is_unknown =
        decoded.Failure().Kind() == base::error_kind::kNotFound;
    options_.log->Write(event_priority::kFailure, "server_report_refused",
                        {{"detail", decoded.Failure().detail}});
    co_return EmptyAnswer(is_unknown ? http::status::not_found
                                     : http::status::bad_request);
  }
  Apply(*decoded);
  const bool says_leaving =
      !decoded->report || decoded->report->server.condition ==
                              decisions::server_condition::kDraining;
  if (says_leaving) co_await options_.publisher->Settle(kSettleLimit);
  co_return EmptyAnswer(http::status::ok);
}

void server_reports::Apply(const server_message& message) {
  if (!message.report) {
    options_.gate->OnLeave(message.server_id, message.start_ms);
    return;
  }
  const bool is_new = options_.gate->OnHeartbeat(*message.report);
  if (is_new) return;
  options_.log->Write(event_priority::kStateChange, "server_report_outdated",
                      {{"server", message.server_id},
                       {"sequence", std::to_string(message.report->sequence)}});
}

http_response server_reports::EmptyAnswer(http::status status) const {
  http_response answer = PlainAnswer(status, options_.adapter->empty_body);
  answer.set(http::field::content_type, options_.adapter->body_type);
  return answer;
}

}  // namespace fireflyspar::app
