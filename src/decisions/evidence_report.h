// A node's report to the evaluators of a move. Its counts are cumulative since
// the node started, so a newer report replaces the previous one, and lost,
// repeated and reordered reports do no harm.
#ifndef FIREFLYSPAR_DECISIONS_EVIDENCE_REPORT_H_
#define FIREFLYSPAR_DECISIONS_EVIDENCE_REPORT_H_

#include <cstdint>
#include <string>
#include <vector>

namespace fireflyspar::decisions {

// The calls of one route to one version that were dispatched while a suspicion
// capped the share, or while it did not. The two are counted separately,
// because the versions can only be compared over calls that were split between
// them at the same share. If most of the new version's calls came during a
// burst of load and most of the old version's calls after it, the new version
// would look worse without being at fault.
struct stratum_counts {
  std::string route;
  bool was_share_capped = false;  // The share was capped at dispatch.
  std::uint64_t calls = 0;
  std::uint64_t failures = 0;
  std::uint64_t slow = 0;  // Above the old version's 95th percentile.

  bool operator==(const stratum_counts&) const = default;
};

// The counts of one node for one move.
struct evidence_report {
  std::string move_id;
  std::string node_id;
  std::string data_centre;
  std::uint64_t incarnation = 0;  // Of the node; increases at each start.
  std::uint64_t sequence = 0;     // Increases with each report of a move.
  std::vector<stratum_counts> old_version;
  std::vector<stratum_counts> new_version;

  bool operator==(const evidence_report&) const = default;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_EVIDENCE_REPORT_H_
