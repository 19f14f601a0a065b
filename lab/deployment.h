// A complete deployment on loopback, as separate processes: a stand-in platform
// and, for each instance, a stand-in backend server with its node. Each data
// centre has its own loopback range, 127.SECOND_OCTET.DATA_CENTRE.INSTANCE, so
// that one address prefix is enough to partition a data centre from the others.
// The destructor ends all processes that were started.
#ifndef FIREFLYSPAR_LAB_DEPLOYMENT_H_
#define FIREFLYSPAR_LAB_DEPLOYMENT_H_

#include <chrono>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "base/address.h"
#include "base/result.h"
#include "lab/process.h"

namespace fireflyspar::lab {

struct server_plan {
  std::string service;
  std::string version;
  int servers = 1;
  int slots = 6;
  std::vector<std::string> extra;  // Further flags of the stand-in server.
};

struct deployment_options {
  std::string binaries;  // The build folder.
  std::string log_folder;
  int second_octet =
      1;  // The second octet of every address; each test has its own.
  std::vector<std::string> data_centres;
  std::vector<server_plan> plans;
};

struct instance {
  int number = 0;
  std::string data_centre;
  server_plan plan;
  std::string ip;
  std::vector<process> node;    // At most one; empty while it is not running.
  std::vector<process> server;  // Likewise.

  base::address AddressWithPort(std::uint16_t port) const {
    return {.ip = ip, .port = port};
  }
};

// Ports, the same on every instance.
inline constexpr std::uint16_t kOutsidePort = 8080;
inline constexpr std::uint16_t kInsidePort = 8081;
inline constexpr std::uint16_t kGatePort = 8082;
inline constexpr std::uint16_t kRpcPort = 8083;
inline constexpr std::uint16_t kOperatorsPort = 8084;
inline constexpr std::uint16_t kServerPort = 9000;
inline constexpr std::uint16_t kPlatformPort = 8090;

class deployment {
 public:
  explicit deployment(deployment_options options);

  // Starts the platform and all instances, and waits until every node answers
  // /healthz. Fails when `limit` passes first.
  base::status Start(std::chrono::seconds limit);

  base::status StartPlatform();
  base::status StartNode(instance& at);
  base::status StartServer(instance& at);

  // Adds an instance to the next data centre in round-robin order, starts it,
  // and waits until its node is ready.
  base::result<instance*> AddInstance(const server_plan& plan);

  // Runs the product's command line against this platform and returns its exit
  // code. The output goes to the log folder and, unless null, to `output`.
  int RunCli(std::vector<std::string> arguments, std::string* output = nullptr);

  // Returns true as soon as `holds` does; false when `limit` passes first.
  static bool WaitFor(const std::function<bool()>& holds,
                      std::chrono::seconds limit);

  // Returns true if every running node reports this configuration version or a
  // later one.
  bool AllNodesAtVersion(std::uint64_t version) const;

  // Returns the configuration version that a node reports, or zero if the node
  // does not answer.
  static std::uint64_t ConfigurationVersionAt(const instance& at);

  // Returns a metric from a node's /metrics, summed over all labels, or zero if
  // it is absent or the node does not answer.
  static double ReadMetric(const instance& at, std::string_view name);

  // Partitions two data centres from each other, in both directions.
  void Partition(std::string_view left, std::string_view right);

  // Partitions the nodes of a data centre from the platform.
  void PartitionFromPlatform(std::string_view data_centre);

  // Ends all partitions.
  void Heal();

  std::vector<std::unique_ptr<instance>>& Instances() { return instances_; }
  const std::vector<std::unique_ptr<instance>>& Instances() const {
    return instances_;
  }
  base::address PlatformAddress() const;
  process& Platform() { return platform_.front(); }

  // Ends the platform's process, an outage during which every retry fails.
  void StopPlatform() { platform_.clear(); }

 private:
  void CreateInstance(const server_plan& plan);
  std::string Ip(int data_centre, int number) const;
  std::string AddressPrefix(std::string_view data_centre) const;
  std::string LogPath(const std::string& name) const;
  std::string Seeds() const;

  deployment_options options_;
  std::vector<process> platform_;
  std::vector<std::unique_ptr<instance>> instances_;
  int next_number_ = 1;
};

// The deployments of the two example sites at their present size.
deployment_options KyushuDeployment(const std::string& binaries,
                                    const std::string& log_folder);
deployment_options GlassbackDeployment(const std::string& binaries,
                                       const std::string& log_folder);

}  // namespace fireflyspar::lab

#endif  // FIREFLYSPAR_LAB_DEPLOYMENT_H_
