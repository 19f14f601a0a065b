// The configuration that a node holds, and how it passes to a node that holds
// an older one. Only a greater version is ever taken, only after the full check
// of its content, and as a whole: the new snapshot is built aside and replaces
// the old one in one step. A node that says which content it holds gets a delta
// where one is smaller; anything amiss with it makes the node ask again, for
// the whole.
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

// How a configuration travels: its name, and either a delta or the whole text.
struct configuration_message {
  config::version_id id;
  std::optional<config::delta> change;
  std::string text;
};

struct configuration_store_options {
  // Earlier contents that deltas can start from.
  std::size_t remembered = 8;

  // Whether a version replaces the one held; a test puts a broken one here.
  std::function<bool(std::uint64_t candidate, std::uint64_t current)> replaces =
      std::greater<>();

  std::function<base::result<config::snapshot_ptr>(config::version_id,
                                                   std::string)>
      make_snapshot = config::MakeSnapshot;
};

class configuration_store {
 public:
  explicit configuration_store(configuration_store_options options = {});

  // Takes the snapshot if its version is greater; true when it was taken.
  bool Offer(config::snapshot_ptr candidate);

  // Rebuilds, checks and takes what a peer sent; true when it was taken, false
  // when it was not newer. Fails when it is not to be had from this message.
  base::result<bool> Take(const configuration_message& message);

  // What to send to a node that holds the content of `base_hash`, or nothing
  // ("" hash). Only with a configuration held.
  configuration_message MessageFor(const std::string& base_hash);

  const config::snapshot_ptr& Held() const { return held_; }
  std::uint64_t Version() const { return held_ ? held_->id.version : 0; }
  std::string Hash() const { return held_ ? held_->id.hash : ""; }

 private:
  configuration_store_options options_;
  config::snapshot_ptr held_;
  std::deque<config::snapshot_ptr> earlier_;  // Newest first.
  // From a base's hash to the held content; nothing where the whole is smaller.
  std::map<std::string, std::optional<config::delta>> deltas_;
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_CONFIGURATION_STORE_H_
