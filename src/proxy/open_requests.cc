#include "proxy/open_requests.h"

#include <utility>

namespace fireflyspar::proxy {

open_requests::entry::entry(open_requests& all, open_request& request,
                            backend_servers::cancellation& caller)
    : all_(all), request_(request), caller_(caller) {
  all_.requests_.insert(&request_);
  if (caller_.IsCancelled()) request_.cancel.Cancel();
  caller_.OnCancel([this] { request_.cancel.Cancel(); });
}

open_requests::entry::~entry() {
  caller_.OnCancel(nullptr);
  all_.requests_.erase(&request_);
}

void open_requests::Shorten(base::steady_instant deadline) {
  for (open_request* each : requests_) {
    if (each->deadline <= deadline) continue;
    each->deadline = deadline;
    each->outdated_gate = each->gate;
  }
}

std::map<offered_gate, std::vector<std::string>>
open_requests::WithOutdatedGate() const {
  std::map<offered_gate, std::vector<std::string>> by_gate;
  for (const open_request* each : requests_) {
    if (each->outdated_gate) {
      by_gate[*each->outdated_gate].push_back(each->id);
    }
  }
  return by_gate;
}

void open_requests::CancelAll() {
  // A request that ends removes itself.
  const std::set<open_request*> requests = requests_;
  for (open_request* each : requests) {
    if (requests_.contains(each)) each->cancel.Cancel();
  }
}

offer_in_progress::offer_in_progress(open_request& request, offered_gate gate)
    : request_(request) {
  request_.gate = std::move(gate);
}

offer_in_progress::~offer_in_progress() {
  request_.gate.reset();
  request_.outdated_gate.reset();
}

}  // namespace fireflyspar::proxy
