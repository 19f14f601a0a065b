// Keeps the claims on requests that may not be repeated: as their home, which
// runs them; as their guard, which holds the second claim; and as the router
// that finds both. The claims themselves are pure (decisions/request_claims.h).
//
// Of a request that bears an id, "not run" is said only when both keepers
// granted it and the dispatch was then refused. Whatever else stops it is
// answered "unknown", since an earlier try with the same id may have run; the
// caller may always ask again with the same id.
#ifndef FIREFLYSPAR_CALLERS_CLAIM_KEEPER_H_
#define FIREFLYSPAR_CALLERS_CLAIM_KEEPER_H_

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "callers/dispatch.h"
#include "decisions/request_claims.h"
#include "decisions/request_id.h"
#include "decisions/request_keepers.h"

namespace fireflyspar::callers {

class claim_keeper {
 public:
  claim_keeper(const call_path_options& options, dispatcher& dispatch);

  // From a router: finds the id's home and has the request run there.
  net::awaitable<backend_servers::gate_answer> Route(
      routed_call& call, const decisions::request_id& id);

  // As the id's home: claims it here and at its guard, runs the request and
  // keeps the answer for those who ask again.
  net::awaitable<backend_servers::gate_answer> RunAsHome(
      routed_call& call, const decisions::request_id& id);

  // As the id's guard, for the home `claimant`.
  backend_servers::gate_answer HoldAsGuard(const decisions::request_id& id,
                                           std::string_view claimant);

  // Takes in what the view says of the nodes; called again and again.
  void Observe();

 private:
  struct stored_answer {
    std::uint64_t fingerprint = 0;  // Of the request that was run.
    std::optional<backend_servers::http_response> answer;
  };

  std::optional<decisions::keepers> KeepersOf(const std::string& data_centre,
                                              const decisions::request_id& id);
  net::awaitable<backend_servers::gate_answer> AskGuard(
      const routed_call& call, const decisions::request_id& id,
      const std::string& guard);
  backend_servers::gate_answer AnswerDuplicate(const decisions::request_id& id,
                                               std::uint64_t fingerprint);
  void Store(const decisions::request_id& id,
             const backend_servers::http_response& answer);
  void Release(const decisions::request_id& id);
  void ForgetOldAnswers(base::instant now);

  const call_path_options& options_;
  dispatcher& dispatcher_;
  const base::instant started_;
  const std::string claimant_;  // This process, as a home.

  // Guards all below. Never held while a hook or another lock is taken.
  std::mutex mutex_;
  decisions::request_claims claims_;
  std::map<std::string, decisions::request_keepers>
      keepers_;                                   // By data centre.
  std::map<std::string, stored_answer> answers_;  // By id.
  std::set<std::pair<base::instant, std::string>> answers_by_birth_;
  std::size_t stored_bytes_ = 0;
};

}  // namespace fireflyspar::callers

#endif  // FIREFLYSPAR_CALLERS_CLAIM_KEEPER_H_
