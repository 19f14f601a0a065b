#include "proxy/gate_notices.h"

#include <chrono>

#include "proxy/notice_headers.h"

namespace fireflyspar::proxy {
namespace {

using backend_servers::HeaderOf;
using base::event_priority;
using decisions::server_notices;

constexpr std::chrono::milliseconds kLimitLogInterval{1000};

// The part of a value that can't be read that is logged.
constexpr std::size_t kMaxLoggedValueBytes = 40;

std::int64_t ToThousandths(std::optional<double> limit) {
  constexpr double kThousand = 1000;
  return static_cast<std::int64_t>(limit.value_or(0) * kThousand);
}

std::string ToText(std::optional<double> limit) {
  return limit ? std::to_string(*limit) : "none";
}

}  // namespace

void gate_notices::Restart(const std::string& server_id) {
  const server_notices before = Current();
  server_id_ = server_id;
  tracker_.Restart();
  ShowChange(before);
}

void gate_notices::OnAnswer(const backend_servers::http_response& answer,
                            const decisions::answered_request& request,
                            base::steady_instant now) {
  const auto said = ReadNotices(answer, options_.headers);
  if (!said) {
    options_.metrics
        ->Counter("fireflyspar_unreadable_values_total", "object=\"answer\"")
        .fetch_add(1, std::memory_order_relaxed);
    const std::string limit(HeaderOf(answer, options_.headers.request_limit));
    options_.log->Write(event_priority::kFailure, "server_notice_unreadable",
                        {{"server", server_id_},
                         {"limit", limit.substr(0, kMaxLoggedValueBytes)}});
    return;
  }
  const server_notices before = Current();
  tracker_.OnAnswer(*said, request, now);
  ShowChange(before);
}

void gate_notices::OnPeer(const server_notices& told,
                          base::steady_instant now) {
  const server_notices before = Current();
  tracker_.OnPeer(told, now);
  ShowChange(before);
}

void gate_notices::ShowChange(const server_notices& before) {
  const server_notices& now = Current();
  if (now == before) return;
  options_.metrics->Gauge("fireflyspar_server_limit_per_1000_seconds")
      .store(ToThousandths(now.requests_per_second));
  options_.log->Write(event_priority::kStateChange, "server_notices",
                      {{"server", server_id_},
                       {"limit_per_second", ToText(now.requests_per_second)},
                       {"before", ToText(before.requests_per_second)},
                       {"is_leaving", now.is_leaving ? "1" : "0"}});
}

void gate_notices::CountSent(const call_offer& offer) {
  ++sent_since_log_;
  const std::string origin = offer.is_local ? "own_instance" : "other_instance";
  const std::string nested = offer.is_nested_call ? "1" : "0";
  options_.metrics
      ->Counter("fireflyspar_server_requests_total",
                "origin=\"" + origin + "\",nested=\"" + nested + "\"")
      .fetch_add(1, std::memory_order_relaxed);
}

void gate_notices::LogLimitUse(const decisions::ranked_admission& admission,
                               base::steady_instant now) {
  if (now - logged_at_ < kLimitLogInterval) return;
  const auto limit = Current().requests_per_second;
  if (limit) {
    options_.log->Write(event_priority::kStateChange, "server_limit_use",
                        {{"server", server_id_},
                         {"limit_per_second", ToText(limit)},
                         {"sent", std::to_string(sent_since_log_)},
                         {"running", std::to_string(admission.Running())},
                         {"waiting", std::to_string(admission.Waiting())}});
  }
  logged_at_ = now;
  sent_since_log_ = 0;
}

}  // namespace fireflyspar::proxy
