// Reads an answer as strictly as HTTP/1.1 is written (RFC 9112), and shares no
// code with the reader that it checks.
#ifndef FIREFLYSPAR_TESTS_BACKEND_SERVERS_STRICT_READER_H_
#define FIREFLYSPAR_TESTS_BACKEND_SERVERS_STRICT_READER_H_

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fireflyspar::backend_servers {

struct strict_answer {
  unsigned status = 0;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;
};

// Returns the answer if the bytes are just one, which names its length or has
// no body, in no coding and on lines of their own; nothing otherwise.
std::optional<strict_answer> ReadStrictly(std::string_view bytes,
                                          bool is_head_request);

}  // namespace fireflyspar::backend_servers

#endif  // FIREFLYSPAR_TESTS_BACKEND_SERVERS_STRICT_READER_H_
