#include "proxy/gate_log.h"

#include <string>

namespace fireflyspar::proxy {

using base::event_priority;

void LogOutcome(base::event_log& log, base::metrics& metrics,
                const decisions::ranked_admission& admission,
                const gate_log_entry& entry, const call_offer& offer,
                const gate_outcome& outcome) {
  const bool is_good = outcome.end == gate_outcome_kind::kAnswered;
  const std::string_view result = is_good
                                      ? std::string_view("answered")
                                      : base::ErrorInfoFor(outcome.reason).name;
  metrics
      .Counter("fireflyspar_gate_requests_total",
               "outcome=\"" + std::string(result) + "\"")
      .fetch_add(1, std::memory_order_relaxed);
  const auto priority =
      is_good ? event_priority::kSuccess : event_priority::kFailure;
  if (!log.ShouldWrite(priority)) return;
  log.Write(
      priority, "gate",
      {{"id", std::string(entry.request_id)},
       {"route", offer.route},
       {"server", std::string(entry.server_id)},
       {"outcome", std::string(result)},
       {"status", is_good ? std::to_string(outcome.answer.result_int()) : ""},
       {"detail", outcome.detail},
       {"body_bytes", std::to_string(offer.body_bytes)},
       {"waited_us", std::to_string(entry.waited.count())},
       {"took_us",
        outcome.status ? std::to_string(outcome.status->took.count()) : ""},
       {"left_us", std::to_string(offer.left.count())},
       {"wait_limit_us", std::to_string(offer.wait_limit.count())},
       {"running", std::to_string(admission.Running())},
       {"waiting", std::to_string(admission.Waiting())}});
}

void LogMisaddressed(base::event_log& log, const decisions::server_start& asked,
                     const std::optional<decisions::server_info>& registered,
                     bool has_reported_since) {
  const auto priority = has_reported_since ? event_priority::kFailure
                                           : event_priority::kStateChange;
  if (!log.ShouldWrite(priority)) return;
  const auto& [id, start_ms] = asked;
  log.Write(priority, "server_misaddressed",
            {{"asked", id},
             {"asked_start_ms", std::to_string(start_ms)},
             {"registered", registered ? registered->id : ""},
             {"closes", has_reported_since ? "0" : "1"}});
}

}  // namespace fireflyspar::proxy
