// The requests that a router is working on. When its process begins to end,
// they get less time, so that each has its answer before the end.
#ifndef FIREFLYSPAR_PROXY_OPEN_REQUESTS_H_
#define FIREFLYSPAR_PROXY_OPEN_REQUESTS_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "backend_servers/http.h"
#include "base/address.h"
#include "base/hooks.h"

namespace fireflyspar::proxy {

// The gate that a request is offered to.
struct offered_gate {
  bool is_local = false;
  base::address address;  // Not if it is local.

  auto operator<=>(const offered_gate&) const = default;
};

struct open_request {
  std::string id;
  base::steady_instant deadline = base::steady_instant::max();
  // Ends the offer in progress: the caller has gone away, or the process ends.
  backend_servers::cancellation cancel;
  // Set while the request is offered to a gate that knows a later deadline.
  std::optional<offered_gate> outdated_gate;
  std::optional<offered_gate> gate;  // Set while it is offered to one.
};

class open_requests {
 public:
  // Keeps a request among the open ones for its lifetime. Its offers end when
  // the caller goes away.
  class entry {
   public:
    entry(open_requests& all, open_request& request,
          backend_servers::cancellation& caller);
    ~entry();
    entry(const entry&) = delete;
    entry& operator=(const entry&) = delete;

   private:
    open_requests& all_;
    open_request& request_;
    backend_servers::cancellation& caller_;
  };

  // Moves the deadlines of all open requests forward.
  void Shorten(base::steady_instant deadline);

  // Returns the ids of the requests whose gates know a later deadline.
  std::map<offered_gate, std::vector<std::string>> WithOutdatedGate() const;

  // Ends all offers in progress.
  void CancelAll();

 private:
  std::set<open_request*> requests_;
};

// Notes that a request is offered to a gate, for its lifetime. The gate knows
// the deadline that the request has at the beginning.
class offer_in_progress {
 public:
  offer_in_progress(open_request& request, offered_gate gate);
  ~offer_in_progress();
  offer_in_progress(const offer_in_progress&) = delete;
  offer_in_progress& operator=(const offer_in_progress&) = delete;

 private:
  open_request& request_;
};

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_OPEN_REQUESTS_H_
