#include "backend_servers/answer_reader.h"

#include <utility>

namespace fireflyspar::backend_servers {
namespace {

using boost::system::error_code;

// Answers read in search of the one to the current request. If all of them
// belong to earlier requests, reading fails.
constexpr int kMaxAnswers = 4;

// Informational answers (1xx) before the final one.
constexpr int kMaxInformational = 8;

constexpr unsigned kInformationalClass = 1;
constexpr unsigned kStatusesPerClass = 100;

}  // namespace

net::awaitable<error_code> answer_reader::ReadHead(
    bool awaits_continue, std::optional<answer_parser>& head) {
  error_code error;
  for (int informational = 0; informational <= kMaxInformational;
       ++informational) {
    head.emplace(
        answer_parser_options{.is_head_request = options_.is_head_request,
                              .max_body_bytes = room_.MaxBodyBytes()});
    error = co_await bytes_.ReadHead(*head);
    if (error) co_return error;
    const unsigned status = head->Head().result_int();
    const bool is_final = status / kStatusesPerClass != kInformationalClass;
    const bool is_continue = head->Head().result() == http::status::continue_;
    if (is_final || (awaits_continue && is_continue)) co_return error;
  }
  co_return http::error::bad_status;
}

net::awaitable<error_code> answer_reader::ReadBody(answer_parser& head,
                                                   received_answer& answer) {
  error_code error;
  if (head.IsCloseDelimited() && !options_.accepts_close_delimited) {
    co_return http::error::partial_message;
  }
  if (!head.IsDone()) error = co_await bytes_.ReadBody(head);
  if (error) co_return error;
  answer.can_reuse_connection = head.KeepsConnection();
  answer.message = http_response(head.Release());
  co_return error;
}

// An answer without the id can only be trusted if it can't be that to an
// earlier request.
answer_reader::owner answer_reader::OwnerOf(const http_response& answer) const {
  if (options_.correlation_header.empty()) return owner::kThisRequest;
  const std::string_view echoed = HeaderOf(answer, options_.correlation_header);
  if (echoed.empty() || options_.request_id.empty()) {
    return options_.is_first ? owner::kThisRequest : owner::kUnknown;
  }
  return echoed == options_.request_id ? owner::kThisRequest
                                       : owner::kOtherRequest;
}

net::awaitable<error_code> answer_reader::ReadMatching(
    bool awaits_continue, std::optional<received_answer>& answer) {
  bool is_first_answer = true;
  for (int answers = 0; answers < kMaxAnswers; ++answers) {
    std::optional<answer_parser> head;
    error_code error = co_await ReadHead(awaits_continue, head);
    if (error) co_return error;
    answer.reset();
    if (head->Head().result() == http::status::continue_) co_return error;
    answer.emplace();
    error = co_await ReadBody(*head, *answer);
    if (error) co_return error;
    const owner belongs_to = OwnerOf(answer->message);
    if (belongs_to == owner::kUnknown) break;
    if (belongs_to == owner::kThisRequest) {
      const bool has_id =
          options_.correlation_header.empty() ||
          !HeaderOf(answer->message, options_.correlation_header).empty();
      answer->can_reuse_connection =
          answer->can_reuse_connection && is_first_answer && has_id;
      co_return error;
    }
    is_first_answer = false;
    if (!answer->can_reuse_connection) break;
  }
  co_return http::error::bad_value;
}

net::awaitable<error_code> answer_reader::Read(received_answer& answer) {
  constexpr bool kAwaitsContinue = false;
  std::optional<received_answer> found;
  const error_code error = co_await ReadMatching(kAwaitsContinue, found);
  if (!error) answer = *std::move(found);
  co_return error;
}

net::awaitable<error_code> answer_reader::ReadContinue(
    std::optional<received_answer>& answer) {
  constexpr bool kAwaitsContinue = true;
  const error_code error = co_await ReadMatching(kAwaitsContinue, answer);
  co_return error;
}

}  // namespace fireflyspar::backend_servers
