// A minimal reverse proxy built on cpprestsdk's listener and client: the
// baseline that shows what the call path would cost if it were built on them.
#ifndef FIREFLYSPAR_LAB_REVERSE_PROXY_BASELINE_H_
#define FIREFLYSPAR_LAB_REVERSE_PROXY_BASELINE_H_

#include <memory>

#include "base/address.h"

namespace fireflyspar::lab {

class reverse_proxy_baseline {
 public:
  explicit reverse_proxy_baseline(const base::address& target);
  ~reverse_proxy_baseline();
  reverse_proxy_baseline(const reverse_proxy_baseline&) = delete;
  reverse_proxy_baseline& operator=(const reverse_proxy_baseline&) = delete;

  base::address Address() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace fireflyspar::lab

#endif  // FIREFLYSPAR_LAB_REVERSE_PROXY_BASELINE_H_
