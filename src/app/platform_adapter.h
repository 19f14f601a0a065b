// What a deployment's platform brings to the proxy: names, formats and calls,
// as hooks. Nothing in it decides.
#ifndef FIREFLYSPAR_APP_PLATFORM_ADAPTER_H_
#define FIREFLYSPAR_APP_PLATFORM_ADAPTER_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "app/proxy_settings.h"
#include "config/mesh_configuration.h"
#include "proxy/gate.h"
#include "proxy/header_names.h"
#include "proxy/object_store.h"

namespace fireflyspar::app {

namespace net = boost::asio;

// What a backend server tells the proxy beside it.
struct server_call {
  std::string server_id;
  // A report; nothing when the server says that it leaves.
  std::optional<proxy::server_report> report;
};

// An operator's order to roll a version out, as the store has it.
struct stored_rollout {
  decisions::trial_order order;
  bool has_state = false;     // Its state has been written before.
  std::int64_t began_ms = 0;  // Unix time of the first such write; 0: unknown.
};

// Where the objects lie.
struct store_names {
  std::string configuration_kind;
  std::string configuration_name;
  std::string rollout_kind;
  std::string entry_kind;
};

struct platform_adapter {
  std::function<base::result<proxy_settings>()> read_settings;
  // Changes whenever the settings may have changed.
  std::function<std::string()> settings_stamp;
  proxy::header_names headers;
  store_names names;
  std::string readiness_path;
  // What backend servers' calls are answered with: its media type and a
  // document without fields.
  std::string body_type;
  std::string empty_body;
  std::function<proxy::object_store(net::any_io_executor, const base::address&,
                                    base::metrics*)>
      connect_store;
  std::function<base::result<config::mesh_configuration>(
      const nlohmann::json& document)>
      decode_configuration;
  std::function<base::result<stored_rollout>(const proxy::stored_object&)>
      decode_rollout;
  std::function<nlohmann::json(const decisions::trial_order&,
                               std::int64_t began_ms)>
      encode_rollout_state;
  // Failure kNotFound: no call of a backend server.
  std::function<base::result<server_call>(const backend_servers::http_request&)>
      decode_server_call;
};

}  // namespace fireflyspar::app

#endif  // FIREFLYSPAR_APP_PLATFORM_ADAPTER_H_
