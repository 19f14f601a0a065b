// What a request holds at the gate while it runs. Each is given back at the end
// of its scope, also when the request ends by an exception.
#ifndef FIREFLYSPAR_PROXY_GATE_SCOPES_H_
#define FIREFLYSPAR_PROXY_GATE_SCOPES_H_

#include <cstdint>
#include <utility>

#include "base/hooks.h"
#include "decisions/ranked_admission.h"
#include "decisions/transfer_queue.h"
#include "proxy/gate_suspects.h"

namespace fireflyspar::proxy {

// A slot of the backend server.
class running_slot {
 public:
  explicit running_slot(decisions::ranked_admission& admission)
      : admission_(admission) {}
  ~running_slot() {
    if (is_held_) admission_.Leave({});
  }
  running_slot(const running_slot&) = delete;
  running_slot& operator=(const running_slot&) = delete;

  void Leave(base::duration took) {
    is_held_ = false;
    admission_.Leave(took);
  }

 private:
  decisions::ranked_admission& admission_;
  bool is_held_ = true;
};

// Notes that a request runs, also if it ends by an exception.
class entered_request {
 public:
  entered_request(gate_suspects& suspects,
                  gate_suspects::running_request entered)
      : suspects_(suspects), entered_(std::move(entered)) {}
  ~entered_request() { suspects_.Leave(entered_); }
  entered_request(const entered_request&) = delete;
  entered_request& operator=(const entered_request&) = delete;

  const gate_suspects::running_request& Request() const { return entered_; }

 private:
  gate_suspects& suspects_;
  gate_suspects::running_request entered_;
};

// Holds the memory of a body at the gate until its request has ended.
class held_body {
 public:
  held_body(decisions::transfer_queue& transfers, std::uint64_t bytes)
      : transfers_(transfers), bytes_(bytes) {}
  ~held_body() { transfers_.Release(bytes_); }
  held_body(const held_body&) = delete;
  held_body& operator=(const held_body&) = delete;

 private:
  decisions::transfer_queue& transfers_;
  std::uint64_t bytes_;
};

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_GATE_SCOPES_H_
