// Tells by a request's key which organisation it comes from, and tells the
// backend server. The key itself goes no further than this process. Backend
// servers' nested calls carry no key and come from no organisation.
#ifndef FIREFLYSPAR_PROXY_ORGANISATION_ACCESS_H_
#define FIREFLYSPAR_PROXY_ORGANISATION_ACCESS_H_

#include <functional>
#include <optional>
#include <string>

#include "backend_servers/http.h"
#include "base/error.h"
#include "config/mesh_configuration.h"
#include "decisions/organisation_index.h"
#include "proxy/header_names.h"

namespace fireflyspar::proxy {

struct organisation_access_options {
  header_names headers;
  // Returns whether the configuration in force is known to be the latest. A key
  // that it lacks may otherwise have been added since.
  std::function<bool()> is_configuration_fresh = [] { return true; };
};

// Whether a request may go on, and whose it is.
struct access_result {
  std::optional<base::error_kind> refusal;
  // Null for a request that needs no key. Valid while the configuration is.
  const config::organisation* organisation = nullptr;
};

class organisation_access {
 public:
  explicit organisation_access(organisation_access_options options)
      : options_(std::move(options)) {}

  // Must be called when another configuration is in force. It must outlive the
  // next call.
  void SetConfiguration(const config::mesh_configuration& next);

  // Decides on the request. Replaces its key, and whatever organisation it
  // names, by the organisation that has the key.
  access_result Check(backend_servers::http_request& request,
                      const config::mesh_route& route,
                      bool is_nested_call) const;

 private:
  organisation_access_options options_;
  bool needs_keys_ = false;
  decisions::organisation_index index_;
};

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_ORGANISATION_ACCESS_H_
