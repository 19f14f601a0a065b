// Fault injection for tests: a list of addresses that this node must not
// communicate with. An entry is a prefix of the address's text, so that a test
// that gives each data centre its own loopback range can partition one off with
// a single entry.
#ifndef FIREFLYSPAR_APP_CONNECTION_BLOCKLIST_H_
#define FIREFLYSPAR_APP_CONNECTION_BLOCKLIST_H_

#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "base/address.h"
#include "base/result.h"

namespace fireflyspar::app {

class connection_blocklist {
 public:
  // Replaces the list. `text` is a JSON array of non-empty prefixes, such as
  // ["127.1.2.", "127.0.0.1:9"].
  base::status Set(std::string_view text);

  // Returns whether no entry is a prefix of the address.
  bool Allows(const base::address& peer) const;

 private:
  mutable std::mutex mutex_;
  std::vector<std::string> prefixes_;
};

}  // namespace fireflyspar::app

#endif  // FIREFLYSPAR_APP_CONNECTION_BLOCKLIST_H_
