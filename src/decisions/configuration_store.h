// Holds a node's configuration and passes it on to nodes that hold an older
// one. A configuration is accepted only if its version is greater, only after
// the full check of its content, and only as a whole: the new snapshot is built
// separately and replaces the old one in one step. A node that names the
// content it holds gets a delta where that is smaller. If the delta cannot be
// applied or its result fails the check, the node asks again, for the whole
// text.
#ifndef FIREFLYSPAR_DECISIONS_CONFIGURATION_STORE_H_
#define FIREFLYSPAR_DECISIONS_CONFIGURATION_STORE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "base/result.h"
#include "config/delta.h"
#include "config/snapshot.h"

namespace fireflyspar::decisions {

// A configuration in transit: its id, and either a delta or the whole text.
struct configuration_message {
  config::version_id id;
  std::optional<config::delta> change;
  std::string text;
};

struct configuration_store_options {
  // Maximum number of earlier snapshots that a delta can start from.
  std::size_t max_earlier = 8;

  // Returns whether a version replaces the current one; tests set a faulty rule
  // here.
  std::function<bool(std::uint64_t candidate, std::uint64_t current)> replaces =
      std::greater<>();

  std::function<base::result<config::snapshot_ptr>(config::version_id,
                                                   std::string)>
      make_snapshot = config::MakeSnapshot;
};

class configuration_store {
 public:
  explicit configuration_store(configuration_store_options options = {});

  // Accepts the snapshot if its version is greater. Returns whether it did.
  bool Offer(config::snapshot_ptr candidate);

  // Rebuilds, checks and accepts the configuration that a peer sent. Returns
  // true if it was accepted and false if it was not newer. Fails if the message
  // does not give a valid configuration.
  base::result<bool> Apply(const configuration_message& message);

  // Returns the message for a node that holds the content of hash `base_hash`,
  // or no configuration (hash ""). Must be called only while a configuration is
  // held.
  configuration_message MessageFor(const std::string& base_hash);

  const config::snapshot_ptr& Current() const { return current_; }
  std::uint64_t Version() const { return current_ ? current_->id.version : 0; }
  std::string Hash() const { return current_ ? current_->id.hash : ""; }

 private:
  configuration_store_options options_;
  config::snapshot_ptr current_;
  std::deque<config::snapshot_ptr> earlier_;  // Newest first.
  // Deltas to the current content by the hash of their base; nothing where the
  // whole text is not larger.
  std::map<std::string, std::optional<config::delta>> deltas_;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_CONFIGURATION_STORE_H_
