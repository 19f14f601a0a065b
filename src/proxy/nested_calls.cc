#include "proxy/nested_calls.h"

#include <algorithm>

namespace fireflyspar::proxy {

void nested_calls::SetConfiguration(const config::mesh_configuration& next) {
  for (const config::mesh_route& each : next.routes) {
    longest_timeout_ = std::max<base::duration>(longest_timeout_, each.timeout);
  }
}

request_origin nested_calls::OriginOf(std::string_view request_id,
                                      base::steady_instant now) const {
  const std::size_t dot = request_id.rfind('.');
  const bool names_request =
      dot != std::string_view::npos && dot > 0 && dot + 1 < request_id.size();
  if (!names_request) return request_origin::kCaller;
  if (runs_->Contains(request_id.substr(0, dot), now)) {
    return request_origin::kServer;
  }
  const bool may_be_from_before = now < started_ + longest_timeout_;
  return may_be_from_before ? request_origin::kUnclear
                            : request_origin::kCaller;
}

}  // namespace fireflyspar::proxy
