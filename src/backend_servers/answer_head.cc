#include "backend_servers/answer_head.h"

namespace fireflyspar::backend_servers {
namespace {

// The valid statuses (RFC 9110, 15). The parser takes any three digits.
constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;

}  // namespace

boost::system::error_code CheckHead(const answer_head& head) {
  const unsigned status = head.result_int();
  const bool is_valid = status >= kMinStatus && status <= kMaxStatus;
  if (!is_valid) return http::error::bad_status;
  // No request here asks for another protocol.
  const bool switches_protocols =
      head.result() == http::status::switching_protocols;
  if (switches_protocols) return http::error::bad_status;
  return {};
}

}  // namespace fireflyspar::backend_servers
