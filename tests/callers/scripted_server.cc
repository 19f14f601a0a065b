#include "tests/callers/scripted_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <cstdlib>

namespace fireflyspar::callers {

scripted_server::scripted_server(script answers)
    : answers_(std::move(answers)) {
  listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in bound{};
  bound.sin_family = AF_INET;
  bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(bound);
  REQUIRE(::bind(listener_, reinterpret_cast<sockaddr*>(&bound), size) == 0);
  constexpr int kBacklog = 64;
  REQUIRE(::listen(listener_, kBacklog) == 0);
  ::getsockname(listener_, reinterpret_cast<sockaddr*>(&bound), &size);
  address_ = {.ip = "127.0.0.1", .port = ntohs(bound.sin_port)};
  acceptor_ = std::thread([this] { Accept(); });
}

scripted_server::~scripted_server() {
  stopping_ = true;
  ::shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  ::close(listener_);
  {
    const std::lock_guard lock(mutex_);
    for (const int socket : sockets_) ::shutdown(socket, SHUT_RDWR);
  }
  for (std::thread& each : threads_) each.join();
  for (const int socket : sockets_) ::close(socket);
}

void scripted_server::Accept() {
  for (;;) {
    const int socket = ::accept(listener_, nullptr, nullptr);
    if (socket < 0 || stopping_) return;
    ++connections_;
    const std::lock_guard lock(mutex_);
    sockets_.push_back(socket);
    threads_.emplace_back([this, socket] { Serve(socket); });
  }
}

bool scripted_server::ReadRequest(int socket, std::string& text) {
  text.clear();
  std::size_t expected_size = std::string::npos;
  while (expected_size == std::string::npos || text.size() < expected_size) {
    std::array<char, 4096> bytes{};
    const ssize_t bytes_read = ::recv(socket, bytes.data(), bytes.size(), 0);
    if (bytes_read <= 0) return false;
    text.append(bytes.data(), static_cast<std::size_t>(bytes_read));
    const std::size_t end = text.find("\r\n\r\n");
    if (expected_size != std::string::npos || end == std::string::npos) {
      continue;
    }
    constexpr std::size_t kBlankLine = 4;
    expected_size = end + kBlankLine;
    const std::string name = "Content-Length: ";
    const std::size_t length = text.find(name);
    if (length != std::string::npos && length < end) {
      expected_size +=
          std::strtoul(text.c_str() + length + name.size(), nullptr, 10);
    }
  }
  return true;
}

void scripted_server::Serve(int socket) {
  std::string text;
  while (!stopping_ && ReadRequest(socket, text)) {
    ++requests_;
    const scripted_answer answer = answers_(text);
    if (answer.bytes.empty() && !answer.closes) {
      std::array<char, 1> byte{};
      const ssize_t bytes_read = ::recv(socket, byte.data(), byte.size(), 0);
      if (bytes_read <= 0 && !stopping_) ++abandoned_;
      return;
    }
    ::send(socket, answer.bytes.data(), answer.bytes.size(), MSG_NOSIGNAL);
    if (answer.closes) {
      ::shutdown(socket, SHUT_RDWR);
      return;
    }
  }
}

std::string WholeAnswer(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

}  // namespace fireflyspar::callers
