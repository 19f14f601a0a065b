// Reads the answers that arrive on a connection and finds the one to the
// current request. A peer may send answers to earlier requests again, late; the
// correlation id, which the peer copies from a request to its answer, tells
// them apart.
#ifndef FIREFLYSPAR_BACKEND_SERVERS_ANSWER_READER_H_
#define FIREFLYSPAR_BACKEND_SERVERS_ANSWER_READER_H_

#include <boost/system/error_code.hpp>
#include <chrono>
#include <optional>
#include <string>

#include "backend_servers/answer_bytes.h"
#include "backend_servers/http.h"

namespace fireflyspar::backend_servers {

struct answer_reader_options {
  // See exchange_options.
  std::string correlation_header;
  bool accepts_close_delimited = false;
  std::chrono::steady_clock::time_point deadline;
  // The current request.
  std::string request_id;  // Empty: it has none.
  bool is_head_request = false;
  // Whether it is the first on its connection.
  bool is_first = true;
};

struct received_answer {
  http_response message;
  // Whether the connection can carry another request: it stays open, and each
  // answer on it was attributed to the current request.
  bool can_reuse_connection = false;
};

class answer_reader {
 public:
  // Reads on only as far as there is room.
  answer_reader(connection& from, answer_room& room,
                answer_reader_options options)
      : room_(room),
        bytes_(from, room, options.deadline),
        options_(std::move(options)) {}

  // Reads the whole answer to the request. Skips informational answers (1xx)
  // and answers to earlier requests. Fails with http::error::bad_value if it
  // can't be told to which request an answer belongs.
  net::awaitable<boost::system::error_code> Read(received_answer& answer);

  // Reads "100 Continue", or the whole final answer that was sent in its place.
  // In the first case, `answer` is empty.
  net::awaitable<boost::system::error_code> ReadContinue(
      std::optional<received_answer>& answer);

 private:
  enum class owner { kThisRequest, kOtherRequest, kUnknown };

  // Reads the head of the next final answer, or of "100 Continue" if the
  // request waits for it.
  net::awaitable<boost::system::error_code> ReadHead(
      bool awaits_continue, std::optional<answer_parser>& head);
  // Reads the rest of an answer.
  net::awaitable<boost::system::error_code> ReadBody(answer_parser& head,
                                                     received_answer& answer);
  // Reads answers until one belongs to the request.
  net::awaitable<boost::system::error_code> ReadMatching(
      bool awaits_continue, std::optional<received_answer>& answer);
  owner OwnerOf(const http_response& answer) const;

  answer_room& room_;
  answer_bytes bytes_;
  answer_reader_options options_;
};

}  // namespace fireflyspar::backend_servers

#endif  // FIREFLYSPAR_BACKEND_SERVERS_ANSWER_READER_H_
