#include "lab/routing_cost.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <vector>

#include "base/settings.h"
#include "decisions/server_index.h"

namespace fireflyspar::lab {
namespace {

using decisions::member_record;
using std::chrono::nanoseconds;
using std::chrono::steady_clock;

constexpr int kServices = 230;
constexpr int kCalls = 20'000;

std::string ServiceName(int number) {
  return "service-" + std::to_string(number % kServices);
}

std::vector<member_record> MakeMembers(std::int64_t count) {
  std::vector<member_record> members;
  members.reserve(static_cast<std::size_t>(count));
  for (int number = 0; number < count; ++number) {
    members.push_back({.node_id = "node-" + std::to_string(number),
                       .data_centre = "centre-" + std::to_string(number % 4),
                       .server = {.service = ServiceName(number),
                                  .version = "v1",
                                  .slots = 6,
                                  .state = decisions::server_state::kServing}});
  }
  return members;
}

// Returns the number of servers that can take a call of the service.
using server_counter = std::function<std::size_t(const std::string& service)>;

double NanosecondsPerCall(const server_counter& find) {
  std::size_t found = 0;
  const auto begun = steady_clock::now();
  for (int call = 0; call < kCalls; ++call) found += find(ServiceName(call));
  const nanoseconds took = steady_clock::now() - begun;
  // Using the sum keeps the compiler from removing the search.
  if (found == 0) std::cerr << "no server was found\n";
  return static_cast<double>(took.count()) / kCalls;
}

std::size_t ScanAllMembers(const std::vector<member_record>& members,
                           const std::string& service) {
  std::vector<const member_record*> usable;
  for (const member_record& member : members) {
    if (decisions::TakesNewWork(member) && member.server.service == service &&
        member.server.version == "v1") {
      usable.push_back(&member);
    }
  }
  return usable.size();
}

}  // namespace

int RunRoutingCost(std::span<const std::string> arguments) {
  constexpr std::array kTable = {
      base::setting{.name = "members",
                    .kind = base::setting_kind::kNumber,
                    .default_text = "2000",
                    .help = "instances in the fleet",
                    .min_value = kServices,
                    .max_value = 100'000},
  };
  const base::command_line_result line = base::ParseCommandLine(
      {.program = "fireflyspar-lab experiment routing-cost",
       .summary = "Measures the time to find the servers for a call.",
       .table = kTable},
      arguments);
  if (!line.parsed) return line.exit_code;
  const auto members = MakeMembers(line.parsed->Number("members"));
  const auto begun = steady_clock::now();
  const decisions::server_index index(members);
  const nanoseconds built = steady_clock::now() - begun;
  const nlohmann::json report = {
      {"experiment", "routing-cost"},
      {"members", members.size()},
      {"index_ns_per_call", NanosecondsPerCall([&](const std::string& service) {
         return index.Usable(service, "v1").size();
       })},
      {"read_through_ns_per_call",
       NanosecondsPerCall([&](const std::string& service) {
         return ScanAllMembers(members, service);
       })},
      {"index_build_ns", built.count()}};
  std::cout << report.dump() << std::endl;
  return 0;
}

}  // namespace fireflyspar::lab
