#include "backend_servers/sent_requests.h"

#include <algorithm>

#include "base/hash.h"

namespace fireflyspar::backend_servers {

void sent_requests::Add(std::string_view id) {
  hashes_.push_back(base::FastHash(id));
}

bool sent_requests::MayContain(std::string_view id) const {
  return std::ranges::find(hashes_, base::FastHash(id)) != hashes_.end();
}

}  // namespace fireflyspar::backend_servers
