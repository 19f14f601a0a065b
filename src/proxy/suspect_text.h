// How requests under which servers ended are shown to those on call: the
// evidence in a line of the log, and what is withheld now, in metrics and as a
// list.
#ifndef FIREFLYSPAR_PROXY_SUSPECT_TEXT_H_
#define FIREFLYSPAR_PROXY_SUSPECT_TEXT_H_

#include <string>
#include <string_view>

#include "base/event_log.h"
#include "base/metrics.h"
#include "decisions/crash_suspects.h"

namespace fireflyspar::proxy {

// Returns the time until the request may be tried again; zero if it may now.
base::duration TimeLeft(const decisions::suspect& known,
                        base::steady_instant now);

// Returns the servers that ended under the request: which, at which instance,
// when, and what was known then. No part of the request itself is in it.
std::string EvidenceText(const decisions::suspect& known,
                         base::steady_instant now);

// Counts a request that was refused since it is withheld. `by` is what refused
// it: "router" or "gate".
void CountWithheld(base::metrics& metrics, std::string_view by);

void LogWithheld(base::event_log& log, std::string_view request_id,
                 const decisions::suspect& known);

// Sets the gauges of what is suspected and withheld.
void ShowSuspects(const decisions::crash_suspects& suspects,
                  base::metrics& metrics, base::steady_instant now);

// Returns a line for each request that is suspected or withheld.
std::string ListSuspects(const decisions::crash_suspects& suspects,
                         base::steady_instant now);

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_SUSPECT_TEXT_H_
