// A small stand-in for the users' platform: an object store over HTTP and JSON
// (see src/platform/http_object_api.h for the calls) that can inject faults.
//
// POST /faults with a body such as {"slow_ms":200} replaces all faults
// (lab/platform_faults.h). GET /stats returns the number of calls by kind, the
// bytes, the peak rate and the conflicts.
//
// A watch that waits for a change holds no thread.
#ifndef FIREFLYSPAR_LAB_PLATFORM_STAND_IN_H_
#define FIREFLYSPAR_LAB_PLATFORM_STAND_IN_H_

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>

#include "base/address.h"
#include "base/result.h"
#include "lab/platform_faults.h"

namespace fireflyspar::lab {

struct platform_stand_in_options {
  base::address address{.ip = "127.0.0.1", .port = 0};  // 0: any free port.
  platform_faults faults;
};

struct platform_stats {
  std::map<std::string, std::int64_t> calls;  // By kind: get, put, ...
  std::int64_t bytes_in = 0;                  // Request bodies.
  std::int64_t bytes_out = 0;                 // Response bodies.
  std::int64_t conflicts = 0;
  std::int64_t rate_limited = 0;  // Calls answered with 429.
  std::int64_t peak_calls_in_a_second = 0;
};

class platform_stand_in {
 public:
  explicit platform_stand_in(platform_stand_in_options options);
  ~platform_stand_in();
  platform_stand_in(const platform_stand_in&) = delete;
  platform_stand_in& operator=(const platform_stand_in&) = delete;

  base::status Start();
  void Stop();

  // Returns the listening address; its port is known after Start.
  base::address Address() const;

  // Replaces all faults. Requests that were left unanswered are then answered
  // with 503.
  void SetFaults(const platform_faults& faults);

  platform_stats Stats() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

// Implements the subcommand `platform`: runs a stand-in until SIGTERM or
// SIGINT.
int RunPlatform(std::span<const std::string> arguments);

}  // namespace fireflyspar::lab

#endif  // FIREFLYSPAR_LAB_PLATFORM_STAND_IN_H_
