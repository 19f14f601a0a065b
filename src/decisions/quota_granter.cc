#include "decisions/quota_granter.h"

#include <algorithm>
#include <cmath>

namespace fireflyspar::decisions {

double quota_granter::Capacity(const bucket& of) const {
  const config::organisation_limit& limit = of.limit.limit;
  const std::chrono::duration<double> not_tolerated =
      kQuotaTokenTime - options_.tolerance;
  const double total = limit.burst - limit.requests_per_second *
                                         std::max(0.0, not_tolerated.count());
  // With less than one, no request would ever be let in.
  return std::max(1.0, total / options_.data_centres);
}

void quota_granter::Fill(bucket& filled, base::steady_instant now) const {
  const std::chrono::duration<double> since =
      std::max(now, filled.filled_at) - filled.filled_at;
  filled.tokens =
      std::min(Capacity(filled), filled.tokens + since.count() * Rate(filled));
  filled.filled_at = std::max(now, filled.filled_at);
}

quota_grant quota_granter::Take(const quota_request& request,
                                base::steady_instant now) {
  auto found = buckets_.find(request.organisation);
  if (found == buckets_.end()) {
    const bucket created{.limit = request.limit,
                         .filled_at = request.owned_since};
    found = buckets_.emplace(std::string(request.organisation), created).first;
  }
  bucket& from = found->second;
  Fill(from, now);
  if (request.limit.version > from.limit.version) {
    from.limit = request.limit;
    from.tokens = std::min(from.tokens, Capacity(from));
  }
  const auto granted =
      std::min(request.wanted, static_cast<int>(std::floor(from.tokens)));
  if (granted > 0) {
    from.tokens -= granted;
    return {.tokens = granted};
  }
  const std::chrono::duration<double> wait((1 - from.tokens) / Rate(from));
  return {.wait = std::chrono::ceil<base::duration>(wait)};
}

void quota_granter::KeepOnly(
    const std::function<bool(std::string_view organisation)>& is_owned) {
  std::erase_if(buckets_,
                [&](const auto& each) { return !is_owned(each.first); });
}

void quota_granter::ForgetFull(base::steady_instant now) {
  for (auto& [organisation, each] : buckets_) Fill(each, now);
  std::erase_if(buckets_, [this](const auto& each) {
    return each.second.tokens >= Capacity(each.second);
  });
}

}  // namespace fireflyspar::decisions
