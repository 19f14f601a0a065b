// The gate's state, which the listener for announcements and the workers of the
// call path share. One lock protects it and is never held while a hook runs.
#ifndef FIREFLYSPAR_BACKEND_SERVERS_GATE_STATE_H_
#define FIREFLYSPAR_BACKEND_SERVERS_GATE_STATE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <vector>

#include "backend_servers/gate.h"
#include "decisions/admission.h"

namespace fireflyspar::backend_servers {

class gate::state {
 public:
  explicit state(gate_options options) : options_(std::move(options)) {}

  // Receives the verdict on a queued request, on the thread that caused it.
  using verdict_hook = std::function<void(const decisions::admission_verdict&)>;

  struct entry {
    std::uint64_t ticket = 0;
    decisions::admission_verdict verdict;
  };

  // Asks to admit a request. If the returned verdict is kWait, `on_verdict` is
  // called once with the final one, unless the request is abandoned before.
  // Each kRun, returned or passed to `on_verdict`, must be followed by Leave.
  entry Enter(base::instant deadline, verdict_hook on_verdict);

  void Leave(const decisions::admission_ending& ending);

  // Removes a queued request. Returns false when the request was already
  // decided on.
  bool Abandon(std::uint64_t ticket);

  base::status OnAnnouncement(const announcement& received);
  void Drain();
  void Tick();

  int InFlight() const;
  int Load() const;  // Number of running and queued requests.

  // Returns the last announcement of the server beside this node, with the
  // server's current state.
  announcement Local() const;

 private:
  using queued_verdicts = std::vector<decisions::queued_verdict>;

  void CallHooks(const queued_verdicts& verdicts);
  void ChangeServer(const announcement& received, base::instant now);

  gate_options options_;
  mutable std::mutex mutex_;
  decisions::admission admission_;
  announcement local_;
  base::instant last_announcement_;
  bool draining_ = false;
  std::uint64_t last_ticket_ = 0;
  std::map<std::uint64_t, verdict_hook> waiting_;  // By queued ticket.
};

}  // namespace fireflyspar::backend_servers

#endif  // FIREFLYSPAR_BACKEND_SERVERS_GATE_STATE_H_
