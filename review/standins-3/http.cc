#include "http.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <utility>

namespace review {

tcp::endpoint address::Endpoint() const {
  return {boost::asio::ip::make_address(ip), port};
}

response MakeAnswer(unsigned status, const json& body) {
  response answer;
  answer.version(11);
  answer.result(status);
  answer.set(http::field::content_type, "application/cbor");
  json::to_cbor(body, answer.body());
  answer.prepare_payload();
  return answer;
}

json ReadBody(const std::string& body) {
  return json::from_cbor(body, true, false);
}

http_server::http_server(const address& at, handler handle)
    : handle_(std::move(handle)), acceptor_(context_) {
  const tcp::endpoint endpoint = at.Endpoint();
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen();
  accepting_ = std::thread([this] { Accept(); });
}

http_server::~http_server() { Stop(); }

void http_server::Stop() {
  {
    const std::lock_guard lock(mutex_);
    if (std::exchange(is_stopped_, true)) return;
    for (const int each : open_) ::shutdown(each, SHUT_RDWR);
  }
  ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
  accepting_.join();
  boost::system::error_code ignored;
  ignored = acceptor_.close(ignored);
  std::unique_lock lock(mutex_);
  ended_.wait(lock, [this] { return threads_ == 0; });
}

void http_server::Accept() {
  for (;;) {
    const int handle = ::accept(acceptor_.native_handle(), nullptr, nullptr);
    const std::lock_guard lock(mutex_);
    if (is_stopped_) {
      if (handle >= 0) ::close(handle);
      return;
    }
    if (handle < 0) continue;
    open_.insert(handle);
    ++threads_;
    std::thread([this, handle] { Serve(handle); }).detach();
  }
}

void http_server::Serve(int handle) {
  boost::asio::io_context context;
  tcp::socket socket(context, tcp::v4(), handle);
  boost::beast::flat_buffer buffer;
  boost::system::error_code error;
  error = socket.set_option(tcp::no_delay(true), error);
  for (;;) {
    http::request_parser<http::string_body> parser;
    http::read(socket, buffer, parser, error);
    if (error) break;
    const request got = parser.release();
    std::optional<response> answer = handle_(got);
    if (!answer) break;
    answer->keep_alive(got.keep_alive() && answer->keep_alive());
    http::write(socket, *answer, error);
    if (error || !answer->keep_alive()) break;
  }
  const std::lock_guard lock(mutex_);
  open_.erase(handle);
  error = socket.close(error);
  --threads_;
  ended_.notify_all();
}

namespace {

using answer_reader = http::response_parser<http::string_body>;

// Reads until the answer is whole. Returns what went wrong; empty if nothing.
std::string ReadAnswer(int handle, steady::time_point until,
                       answer_reader& answer) {
  constexpr std::size_t kReadBytes = 65'536;
  boost::beast::flat_buffer buffer;
  boost::system::error_code error;
  answer.eager(true);
  while (!answer.is_done()) {
    const auto left =
        std::chrono::ceil<milliseconds>(until - steady::now()).count();
    pollfd ready{.fd = handle, .events = POLLIN, .revents = 0};
    if (left <= 0 || ::poll(&ready, 1, static_cast<int>(left)) == 0) {
      return "no answer in time";
    }
    const auto space = buffer.prepare(kReadBytes);
    const ssize_t got = ::recv(handle, space.data(), space.size(), 0);
    if (got < 0) return "the connection was reset";
    if (got == 0) {
      answer.put_eof(error);
      return error || !answer.is_done() ? "the connection was closed" : "";
    }
    buffer.commit(static_cast<std::size_t>(got));
    buffer.consume(answer.put(buffer.data(), error));
    if (error && error != http::error::need_more) return error.message();
    error = {};
  }
  return "";
}

}  // namespace

call_result Call(const address& to, request message, milliseconds timeout) {
  const auto until = steady::now() + timeout;
  call_result result;
  boost::asio::io_context context;
  tcp::socket socket(context);
  boost::system::error_code error;
  error = socket.connect(to.Endpoint(), error);
  if (error) {
    result.detail = "no connection: " + error.message();
    return result;
  }
  error = socket.set_option(tcp::no_delay(true), error);
  message.prepare_payload();
  http::write(socket, message, error);
  if (error) {
    result.detail = "not sent: " + error.message();
    return result;
  }
  answer_reader parser;
  result.detail = ReadAnswer(socket.native_handle(), until, parser);
  if (!result.detail.empty()) return result;
  const response answer = parser.release();
  result.is_answered = true;
  result.status = answer.result_int();
  result.stamp = std::string(answer["Response-Stamp"]);
  result.body = answer.body();
  return result;
}

}  // namespace review
