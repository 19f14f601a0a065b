#include "proxy/router_suspects.h"

#include <algorithm>
#include <iterator>

#include "decisions/rendezvous.h"
#include "proxy/identify_request.h"

namespace fireflyspar::proxy {

using decisions::server_entry;
using decisions::suspect;

const suspect* FindSuspect(const decisions::crash_suspects& suspects,
                           std::string_view service, std::string_view caller,
                           const backend_servers::http_request& request,
                           routed_identity& identity) {
  if (suspects.IsEmpty()) return nullptr;
  if (!identity.head_hash) {
    identity.head_hash = HeadHash(request, caller);
  }
  if (!suspects.MayKnow(*identity.head_hash)) return nullptr;
  if (!identity.whole) {
    identity.whole = IdentifyRequest(request, caller);
  }
  return suspects.Find(service, *identity.whole);
}

server_list TrialOrder(const suspect& known, const server_list& servers) {
  std::vector<std::string> names(servers.size());
  std::ranges::transform(servers, names.begin(), [](const server_entry* each) {
    return each->instance;
  });
  const auto ranked =
      decisions::ChooseByRendezvous(known.identity.digest, names, names.size());
  server_list order;
  order.reserve(servers.size());
  std::ranges::transform(
      ranked, std::back_inserter(order), [&](const std::string& name) {
        return *std::ranges::find(servers, name, &server_entry::instance);
      });
  std::ranges::stable_partition(order, [&](const server_entry* each) {
    return std::ranges::none_of(known.ends, [&](const auto& end) {
      return !end.is_cleared && end.instance == each->instance;
    });
  });
  return order;
}

}  // namespace fireflyspar::proxy
