// Parses the bytes of one answer, in any pieces, and takes only what HTTP/1.1
// allows. What it takes can be written again: it has one length, no coding and
// no trailers.
#ifndef FIREFLYSPAR_BACKEND_SERVERS_ANSWER_PARSER_H_
#define FIREFLYSPAR_BACKEND_SERVERS_ANSWER_PARSER_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "backend_servers/answer_head.h"

namespace fireflyspar::backend_servers {

// The longest head, in bytes.
inline constexpr std::size_t kMaxAnswerHeadBytes = 16'384;

struct answer_parser_options {
  bool is_head_request = false;
  std::uint64_t max_body_bytes = 0;
};

class answer_parser {
 public:
  using message = boost::beast::http::response<boost::beast::http::string_body>;

  explicit answer_parser(const answer_parser_options& options);

  // Parses the bytes and returns how many of them were used. Stops after the
  // head; the next call begins with the body. `error` is need_more if the
  // answer goes on, and tells why there is none if it is another.
  std::size_t Put(boost::asio::const_buffer bytes,
                  boost::system::error_code& error);

  // Must be called when the connection has ended, which may end the answer.
  void PutEnd(boost::system::error_code& error);

  bool HasBegun() const { return parser_.got_some(); }
  bool IsHeadDone() const { return parser_.is_header_done(); }
  bool IsDone() const { return parser_.is_done(); }

  // The members below are for an answer whose head is done.

  const answer_head& Head() const { return parser_.get().base(); }

  // Returns the length that the head names; nothing if it names none.
  std::optional<std::uint64_t> Length() const;

  // Whether only the end of the connection ends the answer.
  bool IsCloseDelimited() const;

  // Whether another answer may follow on the connection.
  bool KeepsConnection() const;

  // Returns the body so far, which may be given more capacity.
  std::string& Body() { return parser_.get().body(); }

  // Returns the answer, which is done.
  message Release();

 private:
  // Must be called when the head is done.
  boost::system::error_code OnHead();
  // Writes the length that was read over all that the head said of it.
  void SetLength(message& answer) const;

  answer_parser_options options_;
  boost::beast::http::response_parser<boost::beast::http::string_body> parser_;
  // The head's fields, if trailers may follow.
  std::optional<boost::beast::http::fields> before_trailers_;
};

}  // namespace fireflyspar::backend_servers

#endif  // FIREFLYSPAR_BACKEND_SERVERS_ANSWER_PARSER_H_
