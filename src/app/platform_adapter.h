// The interface through which a deployment's platform is plugged into the
// proxy: names, formats and calls, given as values and hooks. An adapter only
// translates and makes no decisions.
#ifndef FIREFLYSPAR_APP_PLATFORM_ADAPTER_H_
#define FIREFLYSPAR_APP_PLATFORM_ADAPTER_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "app/proxy_settings.h"
#include "config/partial_configuration.h"
#include "proxy/gate.h"
#include "proxy/header_names.h"
#include "proxy/object_store.h"

namespace fireflyspar::app {

namespace net = boost::asio;

// A message from a backend server to the proxy on its instance.
struct server_message {
  std::string server_id;
  // The server's report; nothing if the message says that the server leaves.
  std::optional<proxy::server_heartbeat> report;
  // Unix time in milliseconds at which the start that leaves began; 0: unknown.
  std::int64_t start_ms = 0;
};

// An operator's rollout order as it is in the store.
struct stored_rollout {
  decisions::rollout_order order;
  bool has_state = false;     // Whether a state has been written to it.
  std::int64_t began_ms = 0;  // Unix time of the first state write; 0: unknown.
};

// Kinds and names of the objects in the store.
struct store_names {
  std::string configuration_kind;
  std::string configuration_name;
  std::string rollout_kind;
  std::string evacuation_kind;  // The objects' names are data centres.
  std::string entry_kind;
  std::string withheld_kind;
};

struct platform_adapter {
  std::function<base::result<proxy_settings>()> read_settings;
  // Returns a text that changes whenever the settings may have changed.
  std::function<std::string()> settings_stamp;
  proxy::header_names headers;
  store_names names;
  std::string readiness_path;
  // The media type and the body (a document without fields) of the answers to
  // backend servers' messages.
  std::string body_type;
  std::string empty_body;
  // `on_restored` is called when the store was restored from an older copy.
  std::function<proxy::object_store(net::any_io_executor, const base::address&,
                                    base::metrics*,
                                    std::function<void()> on_restored)>
      connect_store;
  std::function<base::result<config::partial_configuration>(
      const nlohmann::json& document)>
      decode_configuration;
  std::function<base::result<stored_rollout>(const proxy::stored_object&)>
      decode_rollout;
  std::function<nlohmann::json(const decisions::rollout_order&,
                               std::int64_t began_ms)>
      encode_rollout_state;
  // Fails with kNotFound if the request is not a backend server's message.
  std::function<base::result<server_message>(
      const backend_servers::http_request&)>
      decode_server_message;
};

}  // namespace fireflyspar::app

#endif  // FIREFLYSPAR_APP_PLATFORM_ADAPTER_H_
