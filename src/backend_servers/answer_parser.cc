#include "backend_servers/answer_parser.h"

#include <iterator>
#include <utility>

namespace fireflyspar::backend_servers {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

// The parser keeps a record for each field, however short it is.
constexpr int kMaxFields = 128;

bool HasTooManyFields(const answer_head& head) {
  return std::distance(head.begin(), head.end()) > kMaxFields;
}

}  // namespace

answer_parser::answer_parser(const answer_parser_options& options)
    : options_(options) {
  parser_.header_limit(kMaxAnswerHeadBytes);
  parser_.body_limit(options_.max_body_bytes);
  parser_.skip(options_.is_head_request);
  // The head is parsed alone: when the body is parsed along with it, an error
  // in the head, such as a length above the limit, is passed over.
  parser_.eager(false);
}

std::size_t answer_parser::Put(boost::asio::const_buffer bytes,
                               error_code& error) {
  const bool is_in_head = !IsHeadDone();
  if (!is_in_head) parser_.eager(true);
  const std::size_t used = parser_.put(bytes, error);
  if (!is_in_head) return used;
  const bool has_failed = error && error != http::error::need_more;
  if (has_failed) return used;
  if (HasTooManyFields(Head())) {
    error = http::error::header_limit;
  } else if (IsHeadDone()) {
    error = OnHead();
  }
  return used;
}

error_code answer_parser::OnHead() {
  // Trailers are added to the head, where they could change what it says;
  // nothing here uses any.
  if (parser_.chunked()) before_trailers_ = Head();
  return CheckHead(Head());
}

void answer_parser::PutEnd(error_code& error) { parser_.put_eof(error); }

std::optional<std::uint64_t> answer_parser::Length() const {
  const auto length = parser_.content_length();
  return length ? std::optional(*length) : std::nullopt;
}

bool answer_parser::IsCloseDelimited() const {
  return !options_.is_head_request && parser_.need_eof();
}

bool answer_parser::KeepsConnection() const {
  return !IsCloseDelimited() && parser_.keep_alive();
}

void answer_parser::SetLength(message& answer) const {
  const bool describes_another_body =
      options_.is_head_request || answer.result() == http::status::not_modified;
  if (describes_another_body) {
    answer.content_length(parser_.content_length());
  } else if (answer.result() == http::status::no_content) {
    answer.content_length(boost::none);
  } else {
    answer.content_length(answer.body().size());
  }
}

answer_parser::message answer_parser::Release() {
  if (before_trailers_) {
    static_cast<http::fields&>(parser_.get()) = *std::move(before_trailers_);
  }
  message answer = parser_.release();
  answer.erase(http::field::trailer);
  SetLength(answer);
  return answer;
}

}  // namespace fireflyspar::backend_servers
