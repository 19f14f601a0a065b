// One node: the process on the instance of a backend server. It joins the other
// nodes, gets the configuration from them or from the platform, routes callers'
// calls, admits calls to its backend server through the gate, and answers
// operators. This class only connects the packages; each package's headers
// describe what it does.
#ifndef FIREFLYSPAR_APP_NODE_H_
#define FIREFLYSPAR_APP_NODE_H_

#include <chrono>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "base/address.h"
#include "base/result.h"
#include "base/settings.h"

namespace fireflyspar::app {

struct node_options {
  std::string node_id;
  std::string data_centre;
  std::string region;
  base::address outside_address;
  base::address inside_address;
  base::address gate_address;
  base::address rpc_address;
  base::address operators_address;
  base::address platform_address;
  std::vector<base::address> seeds;
  int workers = 2;
  std::chrono::milliseconds join_wait{3000};
  std::chrono::milliseconds drain_limit{30000};
  bool fault_injection = false;
};

node_options ToNodeOptions(const base::settings& settings);

class node {
 public:
  explicit node(node_options options);
  ~node();
  node(const node&) = delete;
  node& operator=(const node&) = delete;

  // Binds all addresses, joins the other nodes, and waits up to `join_wait` for
  // a configuration. A node without a configuration answers callers "not ready"
  // and keeps trying to get one.
  base::status Start();

  // Shuts down gracefully: notifies the other nodes, waits up to `drain_limit`
  // for running requests, and stops. Returns false when requests had to be
  // aborted at the limit.
  bool Finish();

 private:
  class state;
  std::unique_ptr<state> state_;
};

// The `node` subcommand: runs until SIGTERM or SIGINT.
int RunNode(std::span<const std::string> arguments);

}  // namespace fireflyspar::app

#endif  // FIREFLYSPAR_APP_NODE_H_
