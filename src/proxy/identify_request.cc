#include "proxy/identify_request.h"

#include <string>

#include "base/hash.h"

namespace fireflyspar::proxy {
namespace {

using backend_servers::http_request;
using backend_servers::ToView;

// Half of a SHA-256 digest, in hexadecimal digits.
constexpr std::size_t kDigestDigits = 32;

// Separates the parts of a head. No part can hold it.
constexpr char kSeparator = '\n';

std::string HeadOf(const http_request& request, std::string_view caller) {
  std::string head;
  for (const std::string_view part :
       {ToView(request.method_string()), backend_servers::HostOf(request),
        ToView(request.target()),
        backend_servers::HeaderOf(request, "Authorization"), caller}) {
    head.append(part).push_back(kSeparator);
  }
  return head;
}

}  // namespace

std::string_view CallerOf(const http_request& request, bool is_nested_call,
                          std::string_view calling_service,
                          const header_names& headers) {
  return is_nested_call
             ? calling_service
             : backend_servers::HeaderOf(request, headers.organisation);
}

std::uint64_t HeadHash(const http_request& request, std::string_view caller) {
  return base::FastHash(HeadOf(request, caller));
}

decisions::request_identity IdentifyRequest(const http_request& request,
                                            std::string_view caller) {
  std::string whole = HeadOf(request, caller);
  const std::uint64_t head_hash = base::FastHash(whole);
  if (!request.body().empty()) whole += base::ContentHash(request.body());
  return {.head_hash = head_hash,
          .digest = base::ContentHash(whole).substr(0, kDigestDigits)};
}

}  // namespace fireflyspar::proxy
