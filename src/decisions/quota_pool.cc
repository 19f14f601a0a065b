#include "decisions/quota_pool.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace fireflyspar::decisions {
namespace {

// Time over which the demand of an organisation is smoothed.
constexpr std::chrono::duration<double> kDemandTime{1.0};

// Tokens are asked for the demand of this time. They expire soon after, so more
// would be lost.
constexpr std::chrono::duration<double> kAskedAhead{0.25};

constexpr std::chrono::seconds kIdleTime{30};

}  // namespace

quota_pool::account& quota_pool::Find(std::string_view organisation) {
  const auto found = accounts_.find(organisation);
  if (found != accounts_.end()) return found->second;
  return accounts_[std::string(organisation)];
}

double quota_pool::DemandAt(const account& of, base::steady_instant now) {
  const std::chrono::duration<double> age =
      std::max(now, of.demand_at) - of.demand_at;
  return of.demand * std::exp(-age / kDemandTime);
}

void quota_pool::OnDemand(std::string_view organisation,
                          base::steady_instant now) {
  account& of = Find(organisation);
  of.demand = DemandAt(of, now) + 1;
  of.demand_at = now;
}

std::optional<base::steady_instant> quota_pool::Take(
    std::string_view organisation, base::steady_instant now) {
  auto& expiries = Find(organisation).expiries;
  while (!expiries.empty() && expiries.front() <= now) expiries.pop_front();
  if (expiries.empty()) return std::nullopt;
  const base::steady_instant expires = expiries.front();
  expiries.pop_front();
  return expires;
}

void quota_pool::PutBack(std::string_view organisation,
                         base::steady_instant expires) {
  auto& expiries = Find(organisation).expiries;
  expiries.insert(std::ranges::upper_bound(expiries, expires), expires);
}

int quota_pool::Wanted(std::string_view organisation,
                       base::steady_instant now) {
  const double per_second =
      DemandAt(Find(organisation), now) / kDemandTime.count();
  return std::max(
      1, static_cast<int>(std::lround(per_second * kAskedAhead.count())));
}

void quota_pool::OnGrant(std::string_view organisation, int tokens,
                         base::steady_instant expires) {
  for (int i = 0; i < tokens; ++i) PutBack(organisation, expires);
}

void quota_pool::OnNoGrant(std::string_view organisation,
                           const std::string& owner,
                           base::steady_instant until) {
  Find(organisation).owners[owner] = {.no_grant_until = until,
                                      .has_answered = true};
}

void quota_pool::OnUnreachable(std::string_view organisation,
                               const std::string& owner,
                               base::steady_instant until) {
  Find(organisation).owners[owner] = {.no_grant_until = until,
                                      .has_answered = false};
}

const quota_pool::owner_state* quota_pool::FindOwner(
    std::string_view organisation, const std::string& owner) const {
  const auto of = accounts_.find(organisation);
  if (of == accounts_.end()) return nullptr;
  const auto found = of->second.owners.find(owner);
  return found == of->second.owners.end() ? nullptr : &found->second;
}

bool quota_pool::HasAnswered(std::string_view organisation,
                             const std::string& owner) const {
  const owner_state* const known = FindOwner(organisation, owner);
  return known != nullptr && known->has_answered;
}

base::steady_instant quota_pool::NoGrantUntil(std::string_view organisation,
                                              const std::string& owner) const {
  const owner_state* const known = FindOwner(organisation, owner);
  return known == nullptr ? base::steady_instant() : known->no_grant_until;
}

void quota_pool::ForgetIdle(base::steady_instant now) {
  std::erase_if(accounts_, [now](const auto& each) {
    return now - each.second.demand_at > kIdleTime;
  });
}

}  // namespace fireflyspar::decisions
