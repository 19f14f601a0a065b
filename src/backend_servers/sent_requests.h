// The ids of the requests that were sent on one connection. A peer may send a
// second copy of an answer at any later time, and the copy bears the id of its
// request. It can be told from the answer to another request, but not from that
// to the same request sent again. A connection therefore never carries two
// requests of one id.
#ifndef FIREFLYSPAR_BACKEND_SERVERS_SENT_REQUESTS_H_
#define FIREFLYSPAR_BACKEND_SERVERS_SENT_REQUESTS_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace fireflyspar::backend_servers {

class sent_requests {
 public:
  // A connection that has carried this many requests is closed: its ids would
  // take ever more memory.
  static constexpr std::size_t kMaxRequests = 512;

  void Add(std::string_view id);

  // Returns whether a request with this id may have been sent: always true if
  // there was one, and almost never otherwise, since ids are held as hashes.
  bool MayContain(std::string_view id) const;

  bool IsFull() const { return hashes_.size() >= kMaxRequests; }

 private:
  std::vector<std::uint64_t> hashes_;
};

}  // namespace fireflyspar::backend_servers

#endif  // FIREFLYSPAR_BACKEND_SERVERS_SENT_REQUESTS_H_
