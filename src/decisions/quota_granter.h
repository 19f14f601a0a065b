// Grants tokens of the parts of organisations' limits that this instance owns
// (decisions/quota_owner.h). Each data centre has an equal part. A granted
// token is valid for kQuotaTokenTime: whatever becomes of the tokens, all
// instances together let in no more than the limit's burst, and its rate for
// that much longer. As far as the deployment does not tolerate this, the
// buckets hold less than the burst.
//
// Nothing is remembered beyond the process. A bucket starts empty when the
// instance begins to own it, since what was granted just before is not known.
#ifndef FIREFLYSPAR_DECISIONS_QUOTA_GRANTER_H_
#define FIREFLYSPAR_DECISIONS_QUOTA_GRANTER_H_

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "base/hooks.h"
#include "config/organisation.h"

namespace fireflyspar::decisions {

// How long a granted token may be used.
inline constexpr std::chrono::milliseconds kQuotaTokenTime{300};

// A limit and the version of the configuration that says so.
struct versioned_limit {
  config::organisation_limit limit;
  std::uint64_t version = 0;
};

struct quota_request {
  std::string_view organisation;
  versioned_limit limit;
  int wanted = 1;
  // Since when this instance owns its part. The bucket was empty then.
  base::steady_instant owned_since;
};

struct quota_grant {
  int tokens = 0;
  base::duration wait{};  // If there are none: until there is one.
};

struct quota_granter_options {
  int data_centres = 1;  // How many share each limit.
  // How much may be let in beyond a limit, as the time in which its rate makes
  // up for it.
  std::chrono::duration<double> tolerance{0};

  bool operator==(const quota_granter_options&) const = default;
};

class quota_granter {
 public:
  explicit quota_granter(quota_granter_options options) : options_(options) {}

  // Grants as many of the wanted tokens as there are. Of two versions of the
  // limit the later holds.
  quota_grant Take(const quota_request& request, base::steady_instant now);

  // Forgets the organisations of which this instance owns no part any more.
  void KeepOnly(
      const std::function<bool(std::string_view organisation)>& is_owned);

  // Forgets the organisations whose buckets are full, as new ones would be.
  void ForgetFull(base::steady_instant now);

 private:
  struct bucket {
    versioned_limit limit;
    double tokens = 0;
    base::steady_instant filled_at;
  };

  // Adds the tokens that have come up until `now`.
  void Fill(bucket& filled, base::steady_instant now) const;
  double Rate(const bucket& of) const {
    return of.limit.limit.requests_per_second / options_.data_centres;
  }
  // Returns how many tokens the bucket holds at most.
  double Capacity(const bucket& of) const;

  quota_granter_options options_;
  std::map<std::string, bucket, std::less<>> buckets_;  // By organisation.
};

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_QUOTA_GRANTER_H_
