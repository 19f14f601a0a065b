#include "parsed_answer.h"

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>
#include <sstream>

#include "backend_servers/answer_parser.h"
#include "strict_reader.h"

namespace fireflyspar::backend_servers {
namespace {

using boost::system::error_code;
namespace http = boost::beast::http;

constexpr std::uint64_t kMaxBodyBytes = 100'000;
constexpr unsigned kFirstFinal = 200;

// Returns the final answer that the bytes are; nothing if they are none.
std::optional<answer_parser::message> Parse(const parsed_bytes& from) {
  std::string_view left = from.bytes;
  std::string pending;
  for (;;) {
    answer_parser parser({.is_head_request = from.is_head_request,
                          .max_body_bytes = kMaxBodyBytes});
    while (!parser.IsDone()) {
      error_code error = http::error::need_more;
      if (!pending.empty()) {
        const std::size_t used =
            parser.Put(boost::asio::buffer(pending), error);
        pending.erase(0, used);
      }
      if (error && error != http::error::need_more) return std::nullopt;
      if (!error) continue;
      if (left.empty()) {
        if (!from.ends || !parser.HasBegun()) return std::nullopt;
        error = {};
        parser.PutEnd(error);
        if (error || !parser.IsDone()) return std::nullopt;
        continue;
      }
      const std::string_view next = left.substr(0, from.piece);
      pending.append(next);
      left.remove_prefix(next.size());
    }
    if (parser.Head().result_int() >= kFirstFinal) return parser.Release();
  }
}

}  // namespace

parse_check CheckParsed(const parsed_bytes& from) {
  auto answer = Parse(from);
  if (!answer) return {};
  parse_check check{.is_answer = true};
  answer->version(11);
  std::ostringstream written;
  written << *answer;
  const std::string bytes = written.str();
  const auto read = ReadStrictly(bytes, from.is_head_request);
  if (!read) {
    check.fault = "a strict reader takes it for no answer: " + bytes;
    return check;
  }
  const bool is_same =
      read->status == answer->result_int() && read->body == answer->body() &&
      std::ranges::equal(read->fields, *answer,
                         [](const auto& left, const auto& right) {
                           return left.first == right.name_string() &&
                                  left.second == right.value();
                         });
  if (!is_same) check.fault = "a strict reader reads another: " + bytes;
  return check;
}

}  // namespace fireflyspar::backend_servers
