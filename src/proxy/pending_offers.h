// The offers that a gate has not decided on: they wait for the link or for a
// slot of the backend server. Their time can become shorter meanwhile, when the
// process that made the offer ends, or this one does.
#ifndef FIREFLYSPAR_PROXY_PENDING_OFFERS_H_
#define FIREFLYSPAR_PROXY_PENDING_OFFERS_H_

#include <set>
#include <span>
#include <string>

#include "base/hooks.h"
#include "decisions/ranked_admission.h"
#include "decisions/transfer_queue.h"

namespace fireflyspar::proxy {

struct pending_offer {
  std::string request_id;
  // Its deadline is that by which the request must be expected to end.
  decisions::admission_request admission;
  base::steady_instant deadline;  // Of the request.
};

class pending_offers {
 public:
  pending_offers(decisions::ranked_admission& admission,
                 decisions::transfer_queue& transfers)
      : admission_(admission), transfers_(transfers) {}

  // Keeps an offer among the pending ones for its lifetime.
  class entry {
   public:
    entry(pending_offers& all, pending_offer& offer);
    ~entry() { all_.offers_.erase(&offer_); }
    entry(const entry&) = delete;
    entry& operator=(const entry&) = delete;

   private:
    pending_offers& all_;
    pending_offer& offer_;
  };

  // Moves the deadlines of these requests forward.
  void Shorten(std::span<const std::string> request_ids,
               base::steady_instant deadline);

  // Has all requests refused, now and later, that are not expected to end by
  // then. Those that are admitted keep their deadlines.
  void EndBy(base::steady_instant end);

 private:
  // Moves forward when the request must be expected to end.
  void ShortenAdmission(pending_offer& offer, base::steady_instant end);

  decisions::ranked_admission& admission_;
  decisions::transfer_queue& transfers_;
  std::set<pending_offer*> offers_;
  base::steady_instant end_ = base::steady_instant::max();
};

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_PENDING_OFFERS_H_
