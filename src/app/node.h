// One node: the process beside a backend server. It joins the other nodes,
// learns the configuration from them or from the platform, routes callers'
// calls, guards the backend server beside it, and answers operators. This file
// only joins the packages; what each does is told in its own header.
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
  bool fault_switch = false;
};

node_options ToNodeOptions(const base::settings& settings);

class node {
 public:
  explicit node(node_options options);
  ~node();
  node(const node&) = delete;
  node& operator=(const node&) = delete;

  // Binds every address, joins, and waits for a configuration up to the limit
  // set for it. A node without one answers callers "not ready" and goes on
  // trying.
  base::status Start();

  // Leaves gracefully: tells the other nodes, finishes what runs, then stops.
  // True when nothing had to be cut off.
  bool Finish();

 private:
  class state;
  std::unique_ptr<state> state_;
};

// The `node` subcommand: runs until SIGTERM or SIGINT.
int RunNode(std::span<const std::string> arguments);

}  // namespace fireflyspar::app

#endif  // FIREFLYSPAR_APP_NODE_H_
