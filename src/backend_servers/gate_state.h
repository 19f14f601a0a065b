// The gate's state, shared between the announcements' listener and the call
// path's workers under one lock. The lock is never held while a hook runs.
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

  // Told of a waiting request's turn, on whichever thread brought it about.
  using turn_hook = std::function<void(const decisions::admission_verdict&)>;

  struct entry {
    std::uint64_t ticket = 0;
    decisions::admission_verdict verdict;
  };

  // Asks to let a request in. `on_turn` is called, once, only for a verdict of
  // kWait. Each kRun, at once or by turn, is to be followed by Leave.
  entry Enter(base::instant deadline, turn_hook on_turn);

  void Leave(const decisions::admission_ending& ending);

  // Gives up a waiting request. False when its turn has already come.
  bool Abandon(std::uint64_t ticket);

  base::status Announce(const announcement& heard);
  void Drain();
  void Tick();

  int InFlight() const;
  int Busy() const;  // Running and waiting.

  // What is beside this node now.
  announcement Local() const;

 private:
  using turns = std::vector<decisions::admission_turn>;

  void CallHooks(const turns& due);
  void ChangeServer(const announcement& heard, base::instant now);

  gate_options options_;
  mutable std::mutex mutex_;
  decisions::admission admission_;
  announcement local_;
  base::instant last_heard_;
  bool draining_ = false;
  std::uint64_t last_ticket_ = 0;
  std::map<std::uint64_t, turn_hook> waiting_;
};

}  // namespace fireflyspar::backend_servers

#endif  // FIREFLYSPAR_BACKEND_SERVERS_GATE_STATE_H_
