// The fault switch of tests: addresses that this node must not talk to, named
// by the beginning of their text, so that a test which gives each data centre
// its own loopback range can cut one off with a single entry.
#ifndef FIREFLYSPAR_APP_CUT_LIST_H_
#define FIREFLYSPAR_APP_CUT_LIST_H_

#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "base/address.h"
#include "base/result.h"

namespace fireflyspar::app {

class cut_list {
 public:
  // Replaces the list. `text` is a JSON array, as in ["127.1.2.",
  // "127.0.0.1:9"].
  base::status Set(std::string_view text);

  bool Allows(const base::address& peer) const;

 private:
  mutable std::mutex mutex_;
  std::vector<std::string> prefixes_;
};

}  // namespace fireflyspar::app

#endif  // FIREFLYSPAR_APP_CUT_LIST_H_
