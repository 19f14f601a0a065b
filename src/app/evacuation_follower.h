// Learns which data centres are evacuated: from the store, which holds an
// object for each, and from peers, which hold the whole set with the revision
// at which it was true (decisions/evacuations.h).
#ifndef FIREFLYSPAR_APP_EVACUATION_FOLLOWER_H_
#define FIREFLYSPAR_APP_EVACUATION_FOLLOWER_H_

#include <functional>
#include <string_view>

#include "base/event_log.h"
#include "decisions/evacuations.h"
#include "proxy/object_store.h"

namespace fireflyspar::app {

struct evacuation_follower_options {
  base::event_log* log = nullptr;
  // Called when the set has changed.
  std::function<void()> on_change = [] {};
};

class evacuation_follower {
 public:
  explicit evacuation_follower(evacuation_follower_options options)
      : options_(std::move(options)) {}

  // Take in what the store says: all objects, a change of one, and the revision
  // that the changes of a watch have led to.
  void OnList(const proxy::object_list& listed);
  void OnChange(const proxy::object_change& change);
  void OnWatched(const base::store_revision& revision);

  // Takes in the set that a peer holds. Returns false if it can't be read.
  bool OnPeer(const proxy::stored_object& shared);

  // Returns the known set as an object for peers.
  proxy::stored_object Shared() const;

  bool IsEvacuated(std::string_view data_centre) const {
    return known_.IsEvacuated(data_centre);
  }

 private:
  void Put(decisions::evacuations::data_centre_set data_centres,
           const base::store_revision& revision);

  evacuation_follower_options options_;
  decisions::evacuations known_;
  // By the store as this process watches it, which may be late.
  decisions::evacuations::data_centre_set watched_;
};

}  // namespace fireflyspar::app

#endif  // FIREFLYSPAR_APP_EVACUATION_FOLLOWER_H_
