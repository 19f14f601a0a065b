// Lets in the requests of organisations within their limits, which hold in sum
// over all instances. A router takes a token for each request, from its pool or
// from the instances that own a part of the limit; the same process grants
// tokens of the parts that its own instance owns. docs/design/quotas.md tells
// why the sum holds.
#ifndef FIREFLYSPAR_PROXY_QUOTA_EXCHANGE_H_
#define FIREFLYSPAR_PROXY_QUOTA_EXCHANGE_H_

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "backend_servers/connection_pool.h"
#include "backend_servers/http.h"
#include "base/event_log.h"
#include "base/hooks.h"
#include "base/metrics.h"
#include "config/organisation.h"
#include "decisions/quota_granter.h"
#include "decisions/quota_owner.h"
#include "decisions/quota_pool.h"
#include "decisions/server_directory.h"

namespace fireflyspar::proxy {

namespace net = boost::asio;

// Path of the messages between processes.
inline constexpr char kQuotaPath[] = "/quota";

struct quota_exchange_options {
  net::any_io_executor executor;
  // Of this process.
  std::string instance;
  std::string data_centre;
  decisions::quota_granter_options limits;
  // Whether the whole system starts for the first time.
  bool is_first_start = false;
  const decisions::server_directory* directory = nullptr;
  base::event_log* log = nullptr;
  base::metrics* metrics = nullptr;
};

// Whether a request is within the limit of its organisation.
struct quota_result {
  enum class decision {
    kAdmitted,
    kOverLimit,
    kUnknown,  // No owner of the limit can be reached.
  };
  decision made = decision::kAdmitted;
  // For kAdmitted: when the token expires; nothing if there is no limit.
  std::optional<base::steady_instant> token_expires;
  base::duration wait{};  // Otherwise: until there may be a token.
};

class quota_exchange {
 public:
  explicit quota_exchange(quota_exchange_options options);

  // Decides on one request. `limited` must not be changed before the end.
  net::awaitable<quota_result> Admit(const config::organisation& limited,
                                     std::uint64_t version);

  // Gives back the token of a request that certainly has not run.
  void PutBack(const config::organisation& limited, const quota_result& given);

  // Answers another process that asks for tokens.
  backend_servers::http_response Serve(
      const backend_servers::http_request& request);

  // Must be called when the directory has changed.
  void OnDirectoryChange();

  // Must be called when this instance leaves: it grants nothing from then on.
  void OnLeave() { owner_.OnLeave(); }

  // Must be called some times a second.
  void Tick();

 private:
  // Asks the owner and puts what it grants into the pool. Others wait for the
  // answer meanwhile, as all would ask for the same demand.
  net::awaitable<void> Refill(const std::string& owner,
                              std::string_view organisation,
                              const decisions::versioned_limit& limit);
  quota_result Refuse(std::string_view organisation,
                      const std::vector<std::string>& owners);
  // Asks one owner; nothing if it can't be reached or does not own the part.
  net::awaitable<std::optional<decisions::quota_grant>> Ask(
      const std::string& owner, std::string_view organisation,
      const decisions::versioned_limit& limit, int wanted);
  std::optional<decisions::quota_grant> Grant(
      std::string_view organisation, const decisions::versioned_limit& limit,
      int wanted);
  net::awaitable<std::optional<decisions::quota_grant>> AskRemote(
      const decisions::server_entry& owner, std::string_view organisation,
      const decisions::versioned_limit& limit, int wanted);
  void Count(std::string_view organisation, std::string_view result);

  quota_exchange_options options_;
  backend_servers::connection_pool peers_;
  decisions::quota_owner owner_;
  decisions::quota_granter granter_;
  decisions::quota_pool pool_;
  // Of the organisations for which an owner is being asked. Cancelled when it
  // has answered.
  std::map<std::string, std::shared_ptr<net::steady_timer>, std::less<>>
      asking_;
  std::set<std::string, std::less<>> counted_;  // Organisations with a counter.
  base::steady_instant forgets_at_;
};

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_QUOTA_EXCHANGE_H_
