// Tells the gates of other instances that requests which were offered to them
// have less time than was said, because the process that the requests came to
// ends. A notice that is lost, or that overtakes its offer, is made up for by
// the next one.
#ifndef FIREFLYSPAR_PROXY_DEADLINE_NOTICE_H_
#define FIREFLYSPAR_PROXY_DEADLINE_NOTICE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "backend_servers/connection_pool.h"
#include "base/address.h"
#include "base/hooks.h"

namespace fireflyspar::proxy {

namespace net = boost::asio;

// Path of the notices between processes.
inline constexpr char kDeadlinesPath[] = "/deadlines";

struct deadline_notice {
  base::duration left{};  // Until the requests have to be answered.
  std::vector<std::string> request_ids;

  bool operator==(const deadline_notice&) const = default;
};

std::string ToText(const deadline_notice& notice);

// Returns nothing for a text that is no notice.
std::optional<deadline_notice> ParseDeadlineNotice(std::string_view text);

class deadline_notifier {
 public:
  explicit deadline_notifier(const net::any_io_executor& executor)
      : pool_(executor, backend_servers::kShortAnswers) {}

  // Sends the notice; does not wait for it.
  void Send(const base::address& gate, const deadline_notice& notice);

 private:
  net::awaitable<void> SendText(base::address gate, std::string text);

  backend_servers::connection_pool pool_;
};

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_DEADLINE_NOTICE_H_
