// Writes what became of an offer at a gate to the log and the metrics.
#ifndef FIREFLYSPAR_PROXY_GATE_LOG_H_
#define FIREFLYSPAR_PROXY_GATE_LOG_H_

#include <optional>
#include <string_view>

#include "base/event_log.h"
#include "base/metrics.h"
#include "decisions/crash_suspects.h"
#include "decisions/ranked_admission.h"
#include "decisions/server_directory.h"
#include "proxy/gate_messages.h"

namespace fireflyspar::proxy {

struct gate_log_entry {
  std::string_view request_id;
  std::string_view server_id;  // Empty if no server is known.
  base::duration waited{};     // Until the request was sent to the server.
};

void LogOutcome(base::event_log& log, base::metrics& metrics,
                const decisions::ranked_admission& admission,
                const gate_log_entry& entry, const call_offer& offer,
                const gate_outcome& outcome);

// Writes that another server than the start that was asked has answered.
// `registered`: the server that is registered by now. `has_reported_since`: a
// server has reported since the request was sent, so the answer closes nothing.
void LogMisaddressed(base::event_log& log, const decisions::server_start& asked,
                     const std::optional<decisions::server_info>& registered,
                     bool has_reported_since);

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_GATE_LOG_H_
