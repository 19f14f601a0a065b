// Which starts of the backend servers on this instance have said that they
// leave. That is never taken back: messages that such a start sent before may
// still arrive.
#ifndef FIREFLYSPAR_PROXY_LEFT_STARTS_H_
#define FIREFLYSPAR_PROXY_LEFT_STARTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "decisions/server_directory.h"

namespace fireflyspar::proxy {

class left_starts {
 public:
  // Notes that the start of the server that began at `start_ms`, a Unix time in
  // milliseconds, leaves. Earlier starts under its id have ended by then.
  void Add(std::string_view server_id, std::int64_t start_ms);

  bool Contains(const decisions::server_info& start) const;

 private:
  // By server id, the latest start that has left.
  std::map<std::string, std::int64_t, std::less<>> latest_;
};

}  // namespace fireflyspar::proxy

#endif  // FIREFLYSPAR_PROXY_LEFT_STARTS_H_
