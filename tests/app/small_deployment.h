// A deployment of separate processes that the failure tests harm: six instances
// in three data centres, two services, the ordinary preset of the Kyushu
// example in force.
#ifndef FIREFLYSPAR_TESTS_APP_SMALL_DEPLOYMENT_H_
#define FIREFLYSPAR_TESTS_APP_SMALL_DEPLOYMENT_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "lab/deployment.h"
#include "lab/http.h"

namespace fireflyspar::tests {

// A failing backstop only; nothing here is measured by the clock.
inline constexpr std::chrono::seconds kBackstop{60};

// Starts the deployment, waits until every server is known to every node, and
// puts the preset in force. `net` keeps tests apart from each other.
std::unique_ptr<lab::deployment> StartSmallDeployment(
    int net, std::vector<std::string> server_flags = {});

// Puts the example preset of that name in force; gives the exit code.
int UseExample(lab::deployment& fleet, const std::string& name);

// True when every running node knows that many serving servers.
bool AllKnow(const lab::deployment& fleet, std::int64_t servers);

// The status of one GET through the node at `at`; zero without an answer.
int Get(const lab::instance& at, const std::string& path);

// How many request ids the stand-in servers together ran more than once, and
// how many requests they ran.
struct run_count {
  std::int64_t requests = 0;
  std::int64_t repeated = 0;
};
run_count CountRuns(const lab::deployment& fleet);

}  // namespace fireflyspar::tests

#endif  // FIREFLYSPAR_TESTS_APP_SMALL_DEPLOYMENT_H_
