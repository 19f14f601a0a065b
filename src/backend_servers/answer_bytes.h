// Reads the bytes of answers from a connection into a parser, no further than
// the room goes that an answer has in memory.
#ifndef FIREFLYSPAR_BACKEND_SERVERS_ANSWER_BYTES_H_
#define FIREFLYSPAR_BACKEND_SERVERS_ANSWER_BYTES_H_

#include <boost/system/error_code.hpp>
#include <chrono>
#include <string>

#include "backend_servers/answer_memory.h"
#include "backend_servers/answer_parser.h"
#include "backend_servers/http.h"

namespace fireflyspar::backend_servers {

class answer_bytes {
 public:
  // Waits for room until `deadline`.
  answer_bytes(connection& from, answer_room& room,
               std::chrono::steady_clock::time_point deadline)
      : from_(from), room_(room), deadline_(deadline) {}

  // Reads a head. The body's bytes are left.
  net::awaitable<boost::system::error_code> ReadHead(answer_parser& into);

  // Reads the body to its end.
  net::awaitable<boost::system::error_code> ReadBody(answer_parser& into);

 private:
  using error_code = boost::system::error_code;

  // Gives the parser the bytes that are here, or else those that come next.
  net::awaitable<error_code> ReadSome(answer_parser& into);
  error_code Parse(answer_parser& into);

  // Make room before more is read: in the read buffer (which keeps its size if
  // that is larger), for a body of this length, for the next bytes of a body
  // whose length is not known.
  net::awaitable<error_code> GrowBuffer(std::size_t capacity);
  net::awaitable<error_code> MakeRoomFor(std::uint64_t body_length);
  net::awaitable<error_code> GrowBody(std::string& body);
  // Waits for room for a read buffer and a body of these sizes, and the head.
  net::awaitable<error_code> Take(std::uint64_t buffer_bytes,
                                  std::uint64_t body_bytes);

  // Gives back the room that the whole answer does not need.
  void Settle(std::string& body);

  connection& from_;
  answer_room& room_;
  std::chrono::steady_clock::time_point deadline_;
  std::uint64_t head_bytes_ = 0;  // Counted for a head that is long.
  std::uint64_t body_bytes_ = 0;  // Counted for the body so far.
};

}  // namespace fireflyspar::backend_servers

#endif  // FIREFLYSPAR_BACKEND_SERVERS_ANSWER_BYTES_H_
