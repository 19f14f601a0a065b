#include "proxy/suspect_text.h"

#include <algorithm>
#include <chrono>

namespace fireflyspar::proxy {
namespace {

using base::event_priority;
using decisions::suspect;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

std::string InMilliseconds(base::steady_instant::duration span) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(span).count());
}

}  // namespace

base::duration TimeLeft(const suspect& known, base::steady_instant now) {
  if (!decisions::IsHeld(known, now)) return {};
  return std::chrono::duration_cast<base::duration>(known.held.until - now);
}

std::string EvidenceText(const suspect& known, base::steady_instant now) {
  std::string text;
  for (const decisions::server_end& each : known.ends) {
    if (!text.empty()) text += ' ';
    text += each.server.first + "@" + each.instance + ":" +
            InMilliseconds(now - each.at) + "ms_ago:level" +
            std::to_string(each.level) + (each.is_cleared ? ":cleared" : "");
  }
  return text;
}

void CountWithheld(base::metrics& metrics, std::string_view by) {
  metrics
      .Counter("fireflyspar_withheld_total", "by=\"" + std::string(by) + "\"")
      .fetch_add(1, std::memory_order_relaxed);
}

void LogWithheld(base::event_log& log, std::string_view request_id,
                 const suspect& known) {
  if (!log.ShouldWrite(event_priority::kFailure)) return;
  const auto now = steady::now();
  log.Write(event_priority::kFailure, "withheld",
            {{"id", std::string(request_id)},
             {"identity", known.identity.digest},
             {"service", known.service},
             {"term", std::to_string(known.held.term)},
             {"left_ms", InMilliseconds(TimeLeft(known, now))},
             {"evidence", EvidenceText(known, now)}});
}

void ShowSuspects(const decisions::crash_suspects& suspects,
                  base::metrics& metrics, base::steady_instant now) {
  const auto all = suspects.All();
  const auto held = std::ranges::count_if(
      all, [now](const suspect* each) { return IsHeld(*each, now); });
  metrics.Gauge("fireflyspar_suspected_requests")
      .store(static_cast<std::int64_t>(all.size()));
  metrics.Gauge("fireflyspar_withheld_requests").store(held);
}

std::string ListSuspects(const decisions::crash_suspects& suspects,
                         base::steady_instant now) {
  std::string lines;
  for (const suspect* each : suspects.All()) {
    const bool is_held = IsHeld(*each, now);
    lines += (is_held ? "withheld " : "suspected ") + each->service + ' ' +
             each->identity.digest +
             " left_ms=" + InMilliseconds(TimeLeft(*each, now)) +
             " term=" + std::to_string(each->held.term) + " evidence=\"" +
             EvidenceText(*each, now) + "\"\n";
  }
  return lines;
}

}  // namespace fireflyspar::proxy
