// Chooses the nodes that hold the claim on a request id
// (decisions/request_claims.h): its home and its guard, which are the first two
// nodes of the id's data centre in rendezvous order, according to the view of
// one node.
//
// For an id to run twice, two nodes would each have to rank themselves first,
// and neither may be the other's guard. A single difference between the views
// of the nodes therefore does no harm. The following rules keep views from
// differing by more:
// - a node that vanished stays in the choice until every id that it may have
//   claimed is past its lifetime; meanwhile the ids for which it is chosen are
//   refused;
// - a new node is chosen only for ids created some time after it was first
//   seen;
// - nothing is run while at least half of the nodes that were known within the
//   last hour, other than those that announced that they left, have vanished,
//   since the data centre may be partitioned. This rule fails in a partition
//   whose smaller side has restarted since.
#ifndef FIREFLYSPAR_DECISIONS_CLAIM_HOLDER_SELECTOR_H_
#define FIREFLYSPAR_DECISIONS_CLAIM_HOLDER_SELECTOR_H_

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "base/hooks.h"
#include "decisions/member.h"
#include "decisions/request_claims.h"
#include "decisions/request_id.h"

namespace fireflyspar::decisions {

// Returns the data centre that holds the id's claim. The result depends on the
// configuration alone, so that views cannot differ in it.
std::string HomeDataCentre(const request_id& id,
                           std::span<const std::string> data_centres);

// The node ids of an id's home and guard.
struct claim_holders {
  std::string home;
  std::string guard;

  bool operator==(const claim_holders&) const = default;
};

class claim_holder_selector {
 public:
  // Chooses for the ids of one data centre, as known to a process that started
  // at `started`.
  claim_holder_selector(std::string data_centre, base::instant started,
                        claim_options options = {});

  // Updates the view with the members that are known now.
  void Observe(std::span<const member_record> members, base::instant now);

  // Returns the id's home and guard, or nothing when one of them has vanished,
  // when the data centre may be partitioned, or when fewer than two nodes can
  // hold the id.
  std::optional<claim_holders> FindClaimHolders(const request_id& id,
                                                base::instant now) const;

 private:
  struct peer_history {
    base::instant chosen_from;  // Earliest creation time of ids it may hold.
    base::instant last_present;
    bool is_present = false;
    bool has_left = false;
  };

  bool MayBePartitioned(base::instant now) const;

  std::string data_centre_;
  base::instant started_;
  claim_options options_;
  std::map<std::string, peer_history, std::less<>> peers_;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_CLAIM_HOLDER_SELECTOR_H_
