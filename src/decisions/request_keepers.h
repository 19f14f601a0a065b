// Which nodes keep the claim on a request id (decisions/request_claims.h): its
// home and its guard, the first two by rendezvous hash among the nodes of the
// id's data centre, as one node knows them.
//
// Two homes that run the same id would both have to think themselves first, and
// neither may be the other's guard. So a single difference between the nodes'
// views does no harm. To keep views from differing in more than that:
// - a node that vanished stays in the choice until every id it may have taken
//   is past its life; its ids are refused meanwhile;
// - a new node is chosen only for ids born after it has been known for a while;
// - nothing is run while half or more of the nodes that were known within the
//   last hour, and did not say goodbye, have vanished: the data centre may be
//   split. What breaks this: a split whose smaller side has restarted since.
#ifndef FIREFLYSPAR_DECISIONS_REQUEST_KEEPERS_H_
#define FIREFLYSPAR_DECISIONS_REQUEST_KEEPERS_H_

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

// The data centre that keeps the id's claim: a function of the configuration
// alone, so that no two views can differ in it.
std::string HomeDataCentre(const request_id& id,
                           std::span<const std::string> data_centres);

// The id's keepers, by node id.
struct keepers {
  std::string home;
  std::string guard;

  bool operator==(const keepers&) const = default;
};

class request_keepers {
 public:
  // For the ids of one data centre, as known by a process that started at
  // `started`.
  request_keepers(std::string data_centre, base::instant started,
                  claim_options options = {});

  // Takes in the members that are known now.
  void Observe(std::span<const member_record> members, base::instant now);

  // Nothing when a keeper has vanished, when the data centre may be split, or
  // when fewer than two nodes can keep the id.
  std::optional<keepers> KeepersOf(const request_id& id,
                                   base::instant now) const;

 private:
  struct sighting {
    base::instant chosen_from;  // For ids born from then on.
    base::instant last_present;
    bool is_present = false;
    bool said_goodbye = false;
  };

  bool MaySplit(base::instant now) const;

  std::string data_centre_;
  base::instant started_;
  claim_options options_;
  std::map<std::string, sighting, std::less<>> sightings_;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_REQUEST_KEEPERS_H_
