// Keeps what the backend server behind a gate says of itself in its answers,
// and shows it in the log and the metrics beside what the server gets.
#ifndef FIREFLYSPAR_PROXY_GATE_NOTICES_H_
#define FIREFLYSPAR_PROXY_GATE_NOTICES_H_

#include <string>

#include "backend_servers/http.h"
#include "base/event_log.h"
#include "base/metrics.h"
#include "decisions/ranked_admission.h"
#include "decisions/server_notices.h"
#include "proxy/gate_messages.h"
#include "proxy/header_names.h"

namespace fireflyspar::proxy {

struct gate_notices_options {
  header_names headers;
  base::metrics* metrics = nullptr;
  base::event_log* log = nullptr;
};

class gate_notices {
 public:
  explicit gate_notices(gate_notices_options options)
      : options_(std::move(options)) {}

  // Must be called when another server, or another start of it, is behind the
  // gate.
  void Restart(const std::string& server_id);

  // Takes in an answer to `request`.
  void OnAnswer(const backend_servers::http_response& answer,
                const decisions::answered_request& request,
                base::steady_instant now);

  // Takes in what another process knows of the same start of the server.
  void OnPeer(const decisions::server_notices& told, base::steady_instant now);

  const decisions::server_notices& Current() const {
    return tracker_.Current();
  }

  // Counts a request that is handed to the server.
  void CountSent(const call_offer& offer);

  // While a limit is in force, writes once a second what the server got. Must
  // be called a few times a second.
  void LogLimitUse(const decisions::ranked_admission& admission,
                   base::steady_instant now);

 private:
  void ShowChange(const decisions::server_notices& before);

  gate_notices_options options_;
  std::string server_id_;
  decisions::notice_tracker tracker_;
  int sent_since_log_ = 0;
  base::steady_instant logged_at_;
};

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_GATE_NOTICES_H_
