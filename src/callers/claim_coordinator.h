// Coordinates the claims on requests that must not be repeated. A node takes
// part as the home of a request id, which runs the request; as its guard, which
// holds the second claim; and as the router that finds both nodes. The claim
// tables themselves (decisions/request_claims.h) do no I/O.
//
// A request with an id is answered "not run" only when both claim holders
// granted the claim and the dispatch was then refused, or when its home refuses
// an id from the future. Every other failure is answered "unknown", since an
// earlier attempt with the same id may have run. The caller may always send the
// request again with the same id.
#ifndef FIREFLYSPAR_CALLERS_CLAIM_COORDINATOR_H_
#define FIREFLYSPAR_CALLERS_CLAIM_COORDINATOR_H_

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "callers/dispatch.h"
#include "decisions/claim_holder_selector.h"
#include "decisions/request_claims.h"
#include "decisions/request_id.h"

namespace fireflyspar::callers {

class claim_coordinator {
 public:
  claim_coordinator(const call_path_options& options, dispatcher& dispatch);

  // As the router: finds the id's home and forwards the request to it, or runs
  // the request here when this node is the home.
  net::awaitable<backend_servers::dispatch_result> Route(
      routed_call& call, const decisions::request_id& id);

  // As the id's home: claims the id here and at its guard, runs the request and
  // stores the answer for repetitions of the request.
  net::awaitable<backend_servers::dispatch_result> RunAsHome(
      routed_call& call, const decisions::request_id& id);

  // As the id's guard: claims the id for the home `claimant`.
  backend_servers::dispatch_result HoldAsGuard(const decisions::request_id& id,
                                               std::string_view claimant);

  // Updates the claim holders from the current view and drops expired answers.
  // Called periodically.
  void Observe();

 private:
  struct stored_answer {
    std::uint64_t fingerprint = 0;  // Of the claimed request.
    std::optional<backend_servers::http_response> answer;
  };

  std::optional<decisions::claim_holders> FindClaimHolders(
      const std::string& data_centre, const decisions::request_id& id);
  net::awaitable<backend_servers::dispatch_result> RequestGuardClaim(
      const routed_call& call, const decisions::request_id& id,
      const std::string& guard);
  backend_servers::dispatch_result AnswerDuplicate(
      const decisions::request_id& id, std::uint64_t fingerprint);
  void Store(const decisions::request_id& id,
             const backend_servers::http_response& answer);
  void Release(const decisions::request_id& id);
  void EvictExpiredAnswers(base::instant now);

  const call_path_options& options_;
  dispatcher& dispatcher_;
  const base::instant started_;
  const std::string claimant_;  // Identifies this process as a home.

  // Protects the members below. Never held while a hook is called or another
  // lock is taken.
  std::mutex mutex_;
  decisions::request_claims claims_;
  std::map<std::string, decisions::claim_holder_selector>
      claim_holders_;                             // By data centre.
  std::map<std::string, stored_answer> answers_;  // By request id.
  std::set<std::pair<base::instant, std::string>> answers_by_creation_;
  std::size_t stored_bytes_ = 0;
};

}  // namespace fireflyspar::callers

#endif  // FIREFLYSPAR_CALLERS_CLAIM_COORDINATOR_H_
