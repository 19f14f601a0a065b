// Spreads what is known of requests under which servers ended, so that a gate
// that is offered such a request knows it. A change goes at once to the
// processes that keep it: those beside the servers of the service, and a few
// others for a service with few servers. Besides, while anything is known, each
// process compares notes with one other every few seconds, and a process that
// starts asks some for theirs: so a lost message, a cut or a restart is made up
// for. On a day on which no server ends, nothing is sent.
#ifndef FIREFLYSPAR_PROXY_SUSPECT_EXCHANGE_H_
#define FIREFLYSPAR_PROXY_SUSPECT_EXCHANGE_H_

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "backend_servers/connection_pool.h"
#include "base/event_log.h"
#include "base/hooks.h"
#include "decisions/crash_suspects.h"
#include "decisions/server_directory.h"

namespace fireflyspar::proxy {

namespace net = boost::asio;

// Path of the messages between processes.
inline constexpr char kSuspectsPath[] = "/suspects";

struct suspect_exchange_options {
  net::any_io_executor executor;
  std::string instance;  // Of this process.
  decisions::crash_suspects* suspects = nullptr;
  const decisions::server_directory* directory = nullptr;
  base::event_log* log = nullptr;
  base::random_hook random;
  // Called when a peer's message has changed what is known of a request.
  std::function<void(const decisions::suspect&)> on_learnt = [](const auto&) {};
};

class suspect_exchange {
 public:
  explicit suspect_exchange(suspect_exchange_options options)
      : options_(std::move(options)),
        peers_(options_.executor, backend_servers::kShortAnswers) {}

  // Sends the change to those who keep it. Changes of the same moment go in one
  // message.
  void OnChange(const decisions::suspect& changed);

  // Must be called when the directory changed: the first processes that are
  // known after the start are asked what they know.
  void OnDirectoryChange();

  // Must be called a few times a second.
  void Tick();

  // Answers another process's message.
  backend_servers::http_response Serve(
      const backend_servers::http_request& request);

 private:
  using peer_list = std::vector<decisions::server_entry>;

  // Returns the processes that keep what is known of requests to the service.
  peer_list KeepersOf(std::string_view service) const;
  net::awaitable<void> SendChanges();
  net::awaitable<void> SendUntilTaken(decisions::server_entry to,
                                      std::string body);
  // Returns nothing if the message was not taken, and otherwise whether the
  // process knew the same.
  net::awaitable<std::optional<bool>> Send(const decisions::server_entry& to,
                                           const std::string& body);
  net::awaitable<void> Compare(decisions::server_entry with);
  std::string Encode(const std::vector<const decisions::suspect*>& sent) const;
  // Takes in the suspects in a message. Returns false if it can't be read.
  bool TakeIn(std::string_view body);

  suspect_exchange_options options_;
  backend_servers::connection_pool peers_;
  // Services and digests of what changed and was not sent yet.
  std::set<std::pair<std::string, std::string>> changed_;
  bool is_sending_ = false;
  int asked_at_start_ = 0;
  base::steady_instant next_comparison_;
  base::steady_instant logged_unreadable_at_;
};

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_SUSPECT_EXCHANGE_H_
