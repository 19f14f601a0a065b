// A minimal reverse proxy built on cpprestsdk's listener and client: the
// baseline that shows what the call path would cost if it were built on them.
#ifndef FIREFLYSPAR_LAB_RELAY_BASELINE_H_
#define FIREFLYSPAR_LAB_RELAY_BASELINE_H_

#include <memory>

#include "base/address.h"

namespace fireflyspar::lab {

class relay_baseline {
 public:
  explicit relay_baseline(const base::address& target);
  ~relay_baseline();
  relay_baseline(const relay_baseline&) = delete;
  relay_baseline& operator=(const relay_baseline&) = delete;

  base::address Address() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace fireflyspar::lab

#endif  // FIREFLYSPAR_LAB_RELAY_BASELINE_H_
