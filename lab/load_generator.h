// An open-loop load generator: calls are scheduled at a fixed rate, whether or
// not earlier calls were answered, and latency counts from the scheduled time,
// so that a stall is not hidden.
#ifndef FIREFLYSPAR_LAB_LOAD_GENERATOR_H_
#define FIREFLYSPAR_LAB_LOAD_GENERATOR_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <vector>

#include "base/address.h"

namespace fireflyspar::lab {

struct load_options {
  base::address target;
  double rate = 100;  // Calls a second.
  std::chrono::milliseconds duration{1000};
  std::string method = "GET";
  std::string path = "/";
  int connections = 4;
  int body_bytes = 0;
  bool idempotency_keys = false;  // Sends a new key with each call.
  std::string host = "lab";
  std::map<std::string, std::string> headers;
};

struct load_result {
  std::int64_t sent = 0;
  std::map<int, std::int64_t> by_status;
  std::int64_t cut = 0;  // Connections refused or broken, timeouts and
                         // truncated answers.
  std::int64_t mismatched_answers = 0;  // Answers that belong to another call.
  std::vector<std::chrono::microseconds>
      latencies;  // Latencies of complete answers, sorted.

  std::chrono::microseconds Quantile(double quantile) const;
  nlohmann::json ToJson() const;
};

// Sends the load and waits until all its calls have ended.
load_result RunLoad(const load_options& options);

// Implements the subcommand `load`.
int RunLoadCommand(std::span<const std::string> arguments);

}  // namespace fireflyspar::lab

#endif  // FIREFLYSPAR_LAB_LOAD_GENERATOR_H_
