#include "proxy/organisation_access.h"

#include <boost/beast/core/string.hpp>

namespace fireflyspar::proxy {
namespace {

namespace http = backend_servers::http;

// Returns the key of the request; empty if it has none, more than one, or one
// of another scheme.
std::string_view KeyOf(const backend_servers::http_request& request) {
  constexpr std::string_view kScheme = "Bearer ";
  if (request.count(http::field::authorization) != 1) return {};
  std::string_view value =
      backend_servers::ToView(request[http::field::authorization]);
  const bool is_bearer =
      value.size() > kScheme.size() &&
      boost::beast::iequals(
          backend_servers::ToBeast(value.substr(0, kScheme.size())),
          backend_servers::ToBeast(kScheme));
  if (!is_bearer) return {};
  value.remove_prefix(kScheme.size());
  const std::size_t begin = value.find_first_not_of(' ');
  return begin == std::string_view::npos ? std::string_view()
                                         : value.substr(begin);
}

}  // namespace

void organisation_access::SetConfiguration(
    const config::mesh_configuration& next) {
  needs_keys_ = next.organisations.has_value();
  index_ = needs_keys_ ? decisions::organisation_index(*next.organisations)
                       : decisions::organisation_index();
}

access_result organisation_access::Check(backend_servers::http_request& request,
                                         const config::mesh_route& route,
                                         bool is_nested_call) const {
  if (!needs_keys_) return {};
  const config::organisation* const found =
      is_nested_call ? nullptr : index_.Find(KeyOf(request));
  request.erase(http::field::authorization);
  request.erase(options_.headers.organisation);
  if (found != nullptr) {
    request.set(options_.headers.organisation, found->name);
    return {.organisation = found};
  }
  if (is_nested_call || route.is_public) return {};
  return {.refusal = options_.is_configuration_fresh()
                         ? base::error_kind::kUnknownKey
                         : base::error_kind::kNotReady};
}

}  // namespace fireflyspar::proxy
