// What one node has seen of a move so far, for the judges. Counts are
// cumulative over the node's run, so that a report replaces its forerunner:
// lost, doubled and crossed reports do no harm.
#ifndef FIREFLYSPAR_DECISIONS_EVIDENCE_REPORT_H_
#define FIREFLYSPAR_DECISIONS_EVIDENCE_REPORT_H_

#include <cstdint>
#include <string>
#include <vector>

namespace fireflyspar::decisions {

// Calls of one route to one version, dispatched while the share was held down
// by a suspicion or while it was not. The two are kept apart since versions may
// only be compared over calls that were shared out alike: were new calls mostly
// counted in a burst of load, and old ones mostly after it, the new version
// would look worse for no fault of its own.
struct stratum_counts {
  std::string route;
  bool was_cautious = false;
  std::uint64_t calls = 0;
  std::uint64_t failures = 0;
  std::uint64_t slow = 0;  // Slower than the old version's 95th percentile.

  bool operator==(const stratum_counts&) const = default;
};

struct evidence_report {
  std::string move_id;
  std::string node_id;
  std::string data_centre;
  std::uint64_t incarnation = 0;  // Of the node.
  std::uint64_t sequence = 0;
  std::vector<stratum_counts> old_version;
  std::vector<stratum_counts> new_version;

  bool operator==(const evidence_report&) const = default;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_EVIDENCE_REPORT_H_
