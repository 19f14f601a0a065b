// A deployment of separate processes for the tests that inject failures: six
// instances in three data centres, two services, and the ordinary preset of the
// Kyushu example in force.
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

// Time limit of every wait. It only ends a failing test; no test depends on how
// long a step takes.
inline constexpr std::chrono::seconds kBackstop{60};

// Starts the deployment, waits until every node knows every backend server, and
// puts the preset in force. `second_octet` is the second number of all
// addresses and must differ between tests, so that they can run at the same
// time.
std::unique_ptr<lab::deployment> StartSmallDeployment(
    int second_octet, std::vector<std::string> server_flags = {});

// Uploads the example preset of that name and puts it in force. Returns the
// exit code of the command that failed, or 0.
int UseExample(lab::deployment& fleet, const std::string& name);

// Returns true when every running node knows exactly `servers` backend servers
// that are alive and serving.
bool AllKnow(const lab::deployment& fleet, std::int64_t servers);

// Sends one GET through the node at `at` and returns the status, or zero if no
// answer came.
int Get(const lab::instance& at, const std::string& path);

// Counts over all stand-in backend servers.
struct run_count {
  std::int64_t requests = 0;  // Requests that were run.
  std::int64_t repeated = 0;  // Request ids that one server ran repeatedly.
};
run_count CountRuns(const lab::deployment& fleet);

}  // namespace fireflyspar::tests

#endif  // FIREFLYSPAR_TESTS_APP_SMALL_DEPLOYMENT_H_
