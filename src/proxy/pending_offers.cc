#include "proxy/pending_offers.h"

#include <algorithm>

namespace fireflyspar::proxy {

pending_offers::entry::entry(pending_offers& all, pending_offer& offer)
    : all_(all), offer_(offer) {
  all_.offers_.insert(&offer_);
  offer_.admission.deadline = std::min(offer_.admission.deadline, all_.end_);
}

void pending_offers::Shorten(std::span<const std::string> request_ids,
                             base::steady_instant deadline) {
  for (pending_offer* each : offers_) {
    const bool is_meant =
        std::ranges::find(request_ids, each->request_id) != request_ids.end();
    if (!is_meant) continue;
    each->deadline = std::min(each->deadline, deadline);
    ShortenAdmission(*each, deadline);
  }
}

void pending_offers::EndBy(base::steady_instant end) {
  end_ = std::min(end_, end);
  for (pending_offer* each : offers_) ShortenAdmission(*each, end_);
}

void pending_offers::ShortenAdmission(pending_offer& offer,
                                      base::steady_instant end) {
  offer.admission.deadline = std::min(offer.admission.deadline, end);
  admission_.Shorten(offer.admission.ticket, end);
  transfers_.Shorten(offer.admission.ticket, end);
}

}  // namespace fireflyspar::proxy
