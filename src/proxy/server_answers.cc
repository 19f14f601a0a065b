#include "proxy/server_answers.h"

#include <algorithm>
#include <array>

namespace fireflyspar::proxy {
namespace {

constexpr unsigned kFirstFailureStatus = 400;
constexpr unsigned kMisdirected = 421;

// To a caller these mean that its request has not run.
constexpr std::array<unsigned, 3> kNotRunStatuses = {408, 429, 503};

}  // namespace

answer_meaning MeaningOf(const backend_servers::http_response& answer,
                         const header_names& names, bool is_idempotent) {
  const unsigned status = answer.result_int();
  const bool says_not_run =
      !backend_servers::HeaderOf(answer, names.not_run).empty();
  if (says_not_run && status < kFirstFailureStatus) {
    return answer_meaning::kUnclear;
  }
  if (status == kMisdirected) return answer_meaning::kMisdirected;
  if (says_not_run) return answer_meaning::kRefused;
  const bool would_mean_not_run =
      std::ranges::find(kNotRunStatuses, status) != kNotRunStatuses.end();
  return would_mean_not_run && !is_idempotent ? answer_meaning::kUnclear
                                              : answer_meaning::kRan;
}

}  // namespace fireflyspar::proxy
