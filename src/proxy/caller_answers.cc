#include "proxy/caller_answers.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <utility>

namespace fireflyspar::proxy {
namespace {

using backend_servers::HeaderOf;
using backend_servers::http_request;
using backend_servers::http_response;
using base::error_kind;
using base::event_priority;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;
namespace http = backend_servers::http;

// Bounds of Retry-After times.
constexpr milliseconds kMinRetryAfter{50};
constexpr milliseconds kMaxRetryAfter{1000};

// For a request that is withheld, which is known to stay so for long.
constexpr std::chrono::hours kMaxWithheldRetryAfter{24};

void SetRetryAfter(http_response& answer, base::duration wait) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  std::array<char, 32> text{};
  const int length =
      std::snprintf(text.data(), text.size(), "%.3f",
                    static_cast<double>(wait.count()) / kMicrosecondsPerSecond);
  answer.set(http::field::retry_after,
             std::string(text.data(), static_cast<std::size_t>(length)));
}

}  // namespace

http_response caller_answers::Answer(const request_report& report,
                                     gate_outcome outcome) {
  http_response answer;
  if (outcome.end == gate_outcome_kind::kAnswered) {
    answer = std::move(outcome.answer);
    backend_servers::DropConnectionHeaders(answer.base());
    Record(report, outcome, answer.result_int());
    return answer;
  }
  error_kind reason = outcome.reason;
  if (outcome.end == gate_outcome_kind::kNotRun) {
    // The request has certainly not run, so the caller may retry it, whatever
    // the reason.
    const bool is_late = reason == error_kind::kDeadlinePassed;
    if (!is_late && reason != error_kind::kDraining) reason = error_kind::kShed;
  } else if (reason != error_kind::kDeadlinePassed) {
    reason = report.route->is_idempotent ? error_kind::kServerFailed
                                         : error_kind::kOutcomeUnknown;
  }
  const auto run = outcome.end == gate_outcome_kind::kNotRun
                       ? base::run_state::kNotRun
                       : base::run_state::kUnknown;
  answer = backend_servers::MakeRefusal(reason, outcome.detail, run);
  answer.set(options_.headers.request_id,
             backend_servers::ToBeast(report.request_id));
  if (outcome.end == gate_outcome_kind::kNotRun) {
    answer.result(http::status::service_unavailable);
    const bool is_withheld =
        outcome.refusal == decisions::suspect_refusal::kWithheld;
    const base::duration hint = report.least_wait.count() > 0 && !is_withheld
                                    ? report.least_wait
                                    : outcome.wait;
    const base::duration wait = std::clamp<base::duration>(
        hint.count() > 0 ? hint : kNoServerRetryAfter, kMinRetryAfter,
        is_withheld ? kMaxWithheldRetryAfter : kMaxRetryAfter);
    SetRetryAfter(answer, wait);
  } else {
    answer.erase(http::field::retry_after);
  }
  Record(report, outcome, answer.result_int());
  return answer;
}

http_response caller_answers::Refuse(const http_request& request,
                                     error_kind reason, std::string_view detail,
                                     std::uint64_t version,
                                     base::duration wait) {
  http_response answer = backend_servers::MakeRefusal(reason, detail);
  const std::string_view id = HeaderOf(request, options_.headers.request_id);
  answer.set(options_.headers.request_id, backend_servers::ToBeast(id));
  if (wait.count() > 0) {
    SetRetryAfter(answer, std::max<base::duration>(wait, kMinRetryAfter));
  } else if (reason == error_kind::kNotReady) {
    SetRetryAfter(answer, kNoServerRetryAfter);
  } else if (reason == error_kind::kDraining) {
    SetRetryAfter(answer, kMinRetryAfter);
  }
  options_.log->Write(
      event_priority::kFailure, "refused",
      {{"id", std::string(id)},
       {"host", std::string(backend_servers::HostOf(request))},
       {"reason", std::string(base::ErrorInfoFor(reason).name)},
       {"detail", std::string(detail)},
       {"version", version == 0 ? "" : std::to_string(version)}});
  CountAnswer(base::ErrorInfoFor(reason).name);
  return answer;
}

void caller_answers::CountAnswer(std::string_view result) {
  options_.metrics
      ->Counter("fireflyspar_requests_total",
                "outcome=\"" + std::string(result) + "\"")
      .fetch_add(1, std::memory_order_relaxed);
}

void caller_answers::Record(const request_report& report,
                            const gate_outcome& outcome, unsigned status) {
  const auto took =
      std::chrono::duration_cast<base::duration>(steady::now() - report.begun);
  const bool is_good = outcome.end == gate_outcome_kind::kAnswered &&
                       status < kFirstServerErrorStatus;
  const std::string_view result = outcome.end == gate_outcome_kind::kAnswered
                                      ? std::string_view("answered")
                                      : base::ErrorInfoFor(outcome.reason).name;
  CountAnswer(result);
  options_.metrics->Histogram("fireflyspar_request_seconds").Record(took);
  std::string instances;
  for (const std::string& each : *report.ran_on) {
    if (!instances.empty()) instances.push_back(',');
    instances.append(each);
  }
  const auto priority =
      is_good ? event_priority::kSuccess : event_priority::kFailure;
  if (!options_.log->ShouldWrite(priority)) return;
  options_.log->Write(priority, "request",
                      {{"id", std::string(report.request_id)},
                       {"route", report.route->name},
                       {"service", std::string(report.service)},
                       {"is_call", report.is_nested_call ? "1" : "0"},
                       {"outcome", std::string(result)},
                       {"status", std::to_string(status)},
                       {"detail", outcome.detail},
                       {"ran_on", instances},
                       {"refusals", std::to_string(report.refusals)},
                       {"took_us", std::to_string(took.count())},
                       {"version", std::to_string(report.version)}});
}

}  // namespace fireflyspar::proxy
