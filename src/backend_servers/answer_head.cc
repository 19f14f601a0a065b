#include "backend_servers/answer_head.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

namespace fireflyspar::backend_servers {
namespace {

namespace http = boost::beast::http;

// The valid statuses (RFC 9110, 15). The parser takes any three digits.
constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;

constexpr unsigned kFirstVersionWithChunks = 11;

bool IsValidStatus(const answer_head& head) {
  const unsigned status = head.result_int();
  if (status < kMinStatus || status > kMaxStatus) return false;
  // No request here asks for another protocol.
  return head.result() != http::status::switching_protocols;
}

// Returns whether the body is coded in no way but in chunks. The parser
// understands chunks alone, and takes bytes in other codings for the body.
bool HasKnownCoding(const answer_head& head) {
  const auto codings = head.count(http::field::transfer_encoding);
  if (codings == 0) return true;
  const auto coding = head[http::field::transfer_encoding];
  return codings == 1 && boost::beast::iequals(coding, "chunked") &&
         head.version() >= kFirstVersionWithChunks;
}

}  // namespace

boost::system::error_code CheckHead(const answer_head& head) {
  if (!IsValidStatus(head)) return http::error::bad_status;
  if (!HasKnownCoding(head)) return http::error::bad_transfer_encoding;
  return {};
}

}  // namespace fireflyspar::backend_servers
