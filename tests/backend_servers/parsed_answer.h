// Gives bytes to the parser of answers as a connection does, and checks what it
// takes against the strict reader.
#ifndef FIREFLYSPAR_TESTS_BACKEND_SERVERS_PARSED_ANSWER_H_
#define FIREFLYSPAR_TESTS_BACKEND_SERVERS_PARSED_ANSWER_H_

#include <optional>
#include <string>
#include <string_view>

namespace fireflyspar::backend_servers {

struct parsed_bytes {
  std::string_view bytes;
  std::size_t piece = std::string_view::npos;  // Given at a time.
  bool is_head_request = false;
  bool ends = true;  // Whether the connection ends after the bytes.
};

struct parse_check {
  bool is_answer = false;  // Whether the parser took the bytes for an answer.
  // What is wrong with what it took; empty if nothing is.
  std::string fault;
};

parse_check CheckParsed(const parsed_bytes& from);

}  // namespace fireflyspar::backend_servers

#endif  // FIREFLYSPAR_TESTS_BACKEND_SERVERS_PARSED_ANSWER_H_
