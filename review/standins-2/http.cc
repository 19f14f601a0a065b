#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstdint>

namespace fireflyspar::review {
namespace {

constexpr std::size_t kReadBytes = 65'536;
constexpr milliseconds kIdleTime{60'000};
constexpr int kFirstFinalStatus = 200;

sockaddr_in ToSocketAddress(const endpoint& from) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(from.port));
  inet_pton(AF_INET, from.ip.c_str(), &address.sin_addr);
  return address;
}

int MakeListener(const endpoint& at) {
  const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = ToSocketAddress(at);
  const bool is_listening =
      ::bind(handle, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) == 0 &&
      ::listen(handle, SOMAXCONN) == 0;
  if (is_listening) return handle;
  ::close(handle);
  return -1;
}

// Returns whether the handle became ready before the deadline.
bool WaitFor(int handle, std::int16_t events, steady::time_point deadline) {
  const auto left =
      std::chrono::ceil<milliseconds>(deadline - steady::now()).count();
  pollfd ready{.fd = handle, .events = events, .revents = 0};
  return left > 0 && ::poll(&ready, 1, static_cast<int>(left)) == 1;
}

int ToNumber(std::string_view text) {
  int number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

// Parses the lines of a head, without the empty one.
http_message ParseHead(std::string_view head) {
  http_message message;
  const std::size_t line_end = head.find("\r\n");
  const std::string_view start = head.substr(0, line_end);
  const std::size_t first = start.find(' ');
  const std::size_t second = start.find(' ', first + 1);
  const std::string_view middle = start.substr(first + 1, second - first - 1);
  if (start.starts_with("HTTP/")) {
    message.status = ToNumber(middle);
  } else {
    message.method = start.substr(0, first);
    message.target = middle;
  }
  std::size_t at = line_end;
  while (at != std::string_view::npos) {
    const std::size_t begin = at + 2;
    at = head.find("\r\n", begin);
    const std::string_view line = head.substr(begin, at - begin);
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) continue;
    std::string_view value = line.substr(colon + 1);
    while (value.starts_with(' ')) value.remove_prefix(1);
    message.headers.emplace_back(line.substr(0, colon), value);
  }
  return message;
}

}  // namespace

std::string http_message::Header(std::string_view name) const {
  const auto found = std::ranges::find_if(headers, [name](const auto& each) {
    return each.first.size() == name.size() &&
           ::strncasecmp(each.first.data(), name.data(), name.size()) == 0;
  });
  return found == headers.end() ? std::string() : found->second;
}

std::string http_message::Encode() const {
  std::string text = status == 0
                         ? method + " " + target + " HTTP/1.1\r\n"
                         : "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  text.append("Content-Length: ").append(std::to_string(body.size()));
  text.append("\r\n\r\n").append(body);
  return text;
}

std::string PathOf(const http_message& request) {
  return request.target.substr(0, request.target.find('?'));
}

std::optional<std::string> ParameterOf(const http_message& request,
                                       std::string_view name) {
  std::size_t at = request.target.find('?');
  while (at != std::string::npos) {
    const std::size_t end = request.target.find('&', at + 1);
    const std::string part = request.target.substr(at + 1, end - at - 1);
    const std::size_t equals = part.find('=');
    if (part.substr(0, equals) == name) return part.substr(equals + 1);
    at = end;
  }
  return std::nullopt;
}

http_connection::~http_connection() { ::close(handle_); }

std::unique_ptr<http_connection> http_connection::Open(const endpoint& peer,
                                                       milliseconds timeout) {
  const int handle =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  auto opened = std::make_unique<http_connection>(handle);
  const sockaddr_in address = ToSocketAddress(peer);
  const int result = ::connect(
      handle, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  if (result != 0 && errno != EINPROGRESS) return nullptr;
  if (!WaitFor(handle, POLLOUT, steady::now() + timeout)) return nullptr;
  int error = 0;
  socklen_t length = sizeof(error);
  ::getsockopt(handle, SOL_SOCKET, SO_ERROR, &error, &length);
  if (error != 0) return nullptr;
  const int on = 1;
  ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return opened;
}

bool http_connection::Write(std::string_view bytes) {
  const auto deadline = steady::now() + kIdleTime;
  while (!bytes.empty()) {
    const ssize_t taken = ::send(handle_, bytes.data(), bytes.size(),
                                 MSG_NOSIGNAL | MSG_DONTWAIT);
    if (taken > 0) {
      bytes.remove_prefix(static_cast<std::size_t>(taken));
      continue;
    }
    const bool is_full = errno == EAGAIN || errno == EINTR;
    if (!is_full || !WaitFor(handle_, POLLOUT, deadline)) return false;
  }
  return true;
}

bool http_connection::Fill(steady::time_point deadline) {
  if (!WaitFor(handle_, POLLIN, deadline)) return false;
  std::array<char, kReadBytes> bytes{};
  const ssize_t got = ::recv(handle_, bytes.data(), bytes.size(), 0);
  if (got <= 0) return false;
  buffer_.append(bytes.data(), static_cast<std::size_t>(got));
  return true;
}

std::optional<http_message> http_connection::Read(steady::time_point deadline) {
  for (;;) {
    std::size_t end = buffer_.find("\r\n\r\n");
    while (end == std::string::npos) {
      if (!Fill(deadline)) return std::nullopt;
      end = buffer_.find("\r\n\r\n");
    }
    http_message message = ParseHead(std::string_view(buffer_).substr(0, end));
    buffer_.erase(0, end + 4);
    const bool is_interim =
        message.method.empty() && message.status < kFirstFinalStatus;
    if (is_interim) continue;
    const auto length =
        static_cast<std::size_t>(ToNumber(message.Header("Content-Length")));
    while (buffer_.size() < length) {
      if (!Fill(deadline)) return std::nullopt;
    }
    message.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return message;
  }
}

void http_connection::ShutDown() const { ::shutdown(handle_, SHUT_RDWR); }

std::optional<http_message> Call(const endpoint& peer,
                                 const http_message& request,
                                 milliseconds timeout) {
  const auto deadline = steady::now() + timeout;
  const auto opened = http_connection::Open(peer, timeout);
  if (!opened || !opened->Write(request.Encode())) return std::nullopt;
  return opened->Read(deadline);
}

bool http_server::Start() {
  listener_ = MakeListener(address_);
  if (listener_ < 0) return false;
  acceptor_ = std::thread([this] { Accept(); });
  return true;
}

void http_server::Stop() {
  if (is_stopped_.exchange(true)) return;
  if (acceptor_.joinable()) {
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    ::close(listener_);
  }
  std::vector<std::thread> threads;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& each : clients_) each->ShutDown();
    threads.swap(threads_);
  }
  for (std::thread& each : threads) each.join();
}

void http_server::Accept() {
  while (!is_stopped_) {
    const int handle = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (handle < 0) continue;
    const auto client = std::make_shared<http_connection>(handle);
    const std::lock_guard lock(mutex_);
    clients_.insert(client);
    threads_.emplace_back([this, client] { Serve(client); });
  }
}

void http_server::Serve(const std::shared_ptr<http_connection>& client) {
  while (!is_stopped_) {
    const auto request = client->Read(steady::now() + kIdleTime);
    if (!request) break;
    const auto answer = handler_(*request);
    if (!answer || !client->Write(answer->Encode())) break;
  }
  client->ShutDown();
  const std::lock_guard lock(mutex_);
  clients_.erase(client);
}

bool IsFree(const endpoint& address) {
  const int handle = MakeListener(address);
  if (handle < 0) return false;
  ::close(handle);
  return true;
}

}  // namespace fireflyspar::review
