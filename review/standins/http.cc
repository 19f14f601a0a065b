#include "http.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <stdexcept>
#include <thread>

namespace fireflyspar::review {
namespace {

constexpr std::size_t kReadBytes = 65'536;
constexpr int kBacklog = 512;

sockaddr_in ToAddress(const endpoint& at) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(at.port);
  ::inet_pton(AF_INET, at.ip.c_str(), &address.sin_addr);
  return address;
}

int MillisecondsUntil(steady::time_point until) {
  const auto left = std::chrono::ceil<milliseconds>(until - steady::now());
  return static_cast<int>(std::clamp<std::int64_t>(left.count(), 0, 600'000));
}

bool IsSame(std::string_view left, std::string_view right) {
  return std::ranges::equal(left, right, [](unsigned char a, unsigned char b) {
    return std::tolower(a) == std::tolower(b);
  });
}

std::string Word(const std::string& line, int index) {
  std::size_t begin = 0;
  for (int i = 0; i < index; ++i) {
    begin = line.find(' ', begin);
    if (begin == std::string::npos) return "";
    ++begin;
  }
  return line.substr(begin, line.find(' ', begin) - begin);
}

// Parses the head, which ends before its empty line.
message ParseHead(std::string_view head) {
  message parsed;
  while (!head.empty()) {
    const std::size_t end = std::min(head.find("\r\n"), head.size());
    const std::string_view line = head.substr(0, end);
    head.remove_prefix(std::min(end + 2, head.size()));
    if (parsed.first_line.empty()) {
      parsed.first_line = line;
      continue;
    }
    const std::size_t colon = std::min(line.find(':'), line.size());
    std::string_view value = line.substr(std::min(colon + 1, line.size()));
    while (value.starts_with(' ')) value.remove_prefix(1);
    parsed.headers.emplace_back(line.substr(0, colon), value);
  }
  return parsed;
}

}  // namespace

std::string message::Header(std::string_view name) const {
  const auto found = std::ranges::find_if(
      headers, [name](const auto& each) { return IsSame(each.first, name); });
  return found == headers.end() ? "" : found->second;
}

std::string message::Method() const { return Word(first_line, 0); }

std::string message::Target() const { return Word(first_line, 1); }

int message::Status() const { return std::atoi(Word(first_line, 1).c_str()); }

std::string ToBytes(const message& from) {
  std::string bytes = from.first_line + "\r\n";
  for (const auto& [name, value] : from.headers) {
    bytes.append(name).append(": ").append(value).append("\r\n");
  }
  bytes.append("Content-Length: ").append(std::to_string(from.body.size()));
  bytes.append("\r\n\r\n").append(from.body);
  return bytes;
}

message MakeResponse(int status, std::string body) {
  message made;
  made.first_line = "HTTP/1.1 " + std::to_string(status) + " Status";
  made.body = std::move(body);
  return made;
}

connection::~connection() { ::close(handle_); }

bool connection::Fill(steady::time_point until) {
  pollfd ready{.fd = handle_, .events = POLLIN, .revents = 0};
  if (::poll(&ready, 1, MillisecondsUntil(until)) != 1) return false;
  std::array<char, kReadBytes> bytes{};
  const ssize_t taken = ::recv(handle_, bytes.data(), bytes.size(), 0);
  if (taken <= 0) return false;
  buffer_.append(bytes.data(), static_cast<std::size_t>(taken));
  return true;
}

std::optional<message> connection::Read(steady::time_point until) {
  std::size_t end = buffer_.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!Fill(until)) return std::nullopt;
    end = buffer_.find("\r\n\r\n");
  }
  message read = ParseHead(std::string_view(buffer_).substr(0, end));
  buffer_.erase(0, end + 4);
  const std::string length = read.Header("Content-Length");
  const std::size_t bytes =
      length.empty() ? 0 : std::strtoull(length.c_str(), nullptr, 10);
  while (buffer_.size() < bytes) {
    if (!Fill(until)) return std::nullopt;
  }
  read.body = buffer_.substr(0, bytes);
  buffer_.erase(0, bytes);
  return read;
}

bool connection::Write(std::string_view bytes) {
  const std::scoped_lock lock(write_mutex_);
  while (!bytes.empty()) {
    const ssize_t sent =
        ::send(handle_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

void connection::Shut() {
  is_shut_ = true;
  ::shutdown(handle_, SHUT_RDWR);
}

void connection::Reset() {
  const linger abort{.l_onoff = 1, .l_linger = 0};
  ::setsockopt(handle_, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
  Shut();
}

connection_ptr Connect(const endpoint& to, milliseconds timeout) {
  const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto made = std::make_shared<connection>(handle);
  const int flags = ::fcntl(handle, F_GETFL);
  ::fcntl(handle, F_SETFL, flags | O_NONBLOCK);
  const sockaddr_in address = ToAddress(to);
  const bool is_under_way =
      ::connect(handle, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) == 0 ||
      errno == EINPROGRESS;
  if (!is_under_way) return nullptr;
  pollfd ready{.fd = handle, .events = POLLOUT, .revents = 0};
  if (::poll(&ready, 1, static_cast<int>(timeout.count())) != 1) return nullptr;
  int error = 0;
  socklen_t size = sizeof(error);
  ::getsockopt(handle, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) return nullptr;
  ::fcntl(handle, F_SETFL, flags);
  const int on = 1;
  ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return made;
}

std::optional<message> Ask(const endpoint& to, const message& request,
                           milliseconds timeout) {
  const auto until = steady::now() + timeout;
  const connection_ptr made = Connect(to, timeout);
  if (made == nullptr || !made->Write(ToBytes(request))) return std::nullopt;
  return made->Read(until);
}

void Listen(const endpoint& at, std::function<void(connection_ptr)> serve) {
  const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = ToAddress(at);
  const bool is_listening =
      ::bind(handle, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) == 0 &&
      ::listen(handle, kBacklog) == 0;
  if (!is_listening) throw std::runtime_error("can't listen on " + at.ToText());
  std::thread([handle, serve = std::move(serve)] {
    for (;;) {
      const int accepted = ::accept4(handle, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) continue;
      const int no_delay = 1;
      ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &no_delay,
                   sizeof(no_delay));
      std::thread(serve, std::make_shared<connection>(accepted)).detach();
    }
  }).detach();
}

}  // namespace fireflyspar::review
