// Tests of the mesh against faulty or hostile peers: bytes that are not a valid
// message, huge declared message sizes, sockets that accept connections and
// never answer, and unusable addresses.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <random>
#include <string>

#include "fleet.h"
#include "nodes/mesh.h"

namespace fireflyspar::nodes {
namespace {

// A plain TCP socket.
class raw_socket {
 public:
  raw_socket() : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {}
  ~raw_socket() { close(fd_); }
  raw_socket(const raw_socket&) = delete;
  raw_socket& operator=(const raw_socket&) = delete;

  bool Connect(const base::address& to) {
    const sockaddr_in address = ToSockaddr(to);
    return connect(fd_, reinterpret_cast<const sockaddr*>(&address),
                   sizeof(address)) == 0;
  }

  // Listens without accepting or reading: connections only complete in the
  // kernel's backlog.
  base::address Listen() {
    sockaddr_in address = ToSockaddr({.ip = "127.0.0.1", .port = 0});
    REQUIRE(bind(fd_, reinterpret_cast<const sockaddr*>(&address),
                 sizeof(address)) == 0);
    REQUIRE(listen(fd_, 16) == 0);
    socklen_t size = sizeof(address);
    getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
    return {.ip = "127.0.0.1", .port = ntohs(address.sin_port)};
  }

  void Send(const std::string& bytes) {
    [[maybe_unused]] const auto sent =
        send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }

  // Reads until the peer closes or resets the connection; returns false if it
  // does neither within 60 s.
  bool WaitForClose() {
    const timeval limit{.tv_sec = 60};
    setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    char buffer[256];
    for (;;) {
      const auto size = recv(fd_, buffer, sizeof(buffer), 0);
      if (size == 0) return true;
      if (size < 0) return errno == ECONNRESET;
    }
  }

 private:
  static sockaddr_in ToSockaddr(const base::address& from) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(from.port);
    inet_pton(AF_INET, from.ip.c_str(), &address.sin_addr);
    return address;
  }

  const int fd_;
};

std::int64_t ClosedHere(fleet_node& node) {
  return node.metrics.Counter("fireflyspar_node_connection_faults_total",
                              "reason=\"closed_here\"");
}

std::string Words(std::initializer_list<std::uint32_t> words) {
  std::string bytes;
  for (const std::uint32_t word : words) {
    bytes.append(reinterpret_cast<const char*>(&word), sizeof(word));
  }
  return bytes;
}

TEST_CASE("a message with a huge declared size closes only its connection") {
  fleet nodes;
  fleet_node& node = nodes.Add("a", "fukuoka");
  raw_socket socket;
  REQUIRE(socket.Connect(node.running->RpcAddress()));
  // A header that declares one segment of 0x0fffffff words, which is 2 GB.
  socket.Send(Words({0, 0x0fffffff}));
  CHECK(socket.WaitForClose());
  CHECK(Eventually([&] { return ClosedHere(node) == 1; }));
  nodes.Add("b", "fukuoka");
  CHECK(Eventually([&] { return nodes.AllSeeSameMembers(); }));
}

TEST_CASE("random bytes close their connection and nothing else") {
  fleet nodes;
  fleet_node& node = nodes.Add("a", "fukuoka");
  std::mt19937 random(1);
  for (int i = 0; i < 50; ++i) {
    raw_socket socket;
    REQUIRE(socket.Connect(node.running->RpcAddress()));
    std::string bytes;
    // Every fourth connection starts with the header of a small valid message.
    if (i % 4 == 0) bytes = Words({0, 4});
    for (int n = 0; n < 400; ++n) {
      bytes.push_back(static_cast<char>(random()));
    }
    socket.Send(bytes);
  }
  node.running->Offer(Configuration(1));
  nodes.Add("b", "fukuoka");
  CHECK(Eventually(
      [&] { return nodes.AllSeeSameMembers() && nodes.AllHaveVersion(1); }));
}

TEST_CASE(
    "seeds that accept connections but never answer do not block joining") {
  fleet nodes;
  fleet_node& first = nodes.Add("a", "fukuoka");
  raw_socket hung;
  const base::address black_hole = hung.Listen();
  mesh late({.node_id = "b",
             .data_centre = "fukuoka",
             .rpc_address = {.ip = "127.0.0.1"},
             .seeds = {black_hole},
             .clock = base::SystemClock(),
             .random = base::SystemRandom()});
  REQUIRE(late.Start());
  late.AddSeeds({first.running->RpcAddress()});
  CHECK(Eventually([&] { return late.View()->members.size() == 2; }));
  CHECK(late.RespondedPeers() == 1);
}

TEST_CASE("a member record with an unusable address affects no other node") {
  fleet nodes;
  fleet_node& node = nodes.Add("a", "fukuoka");
  // A node that sends the unspecified address 0.0.0.0 as its own.
  mesh odd({.node_id = "odd",
            .data_centre = "fukuoka",
            .rpc_address = {.ip = "0.0.0.0"},
            .seeds = {node.running->RpcAddress()},
            .clock = base::SystemClock(),
            .random = base::SystemRandom()});
  REQUIRE(odd.Start());
  CHECK(Eventually([&] { return node.running->View()->members.size() == 2; }));
  nodes.Add("b", "fukuoka");
  node.running->Offer(Configuration(1));
  CHECK(Eventually([&] { return nodes.AllHaveVersion(1); }));
}

TEST_CASE("starting on a port in use fails with an error naming the address") {
  raw_socket taken;
  const base::address address = taken.Listen();
  mesh node({.node_id = "a",
             .data_centre = "fukuoka",
             .rpc_address = address,
             .clock = base::SystemClock(),
             .random = base::SystemRandom()});
  const base::status started = node.Start();
  REQUIRE_FALSE(started);
  CHECK(started.Failure().Kind() == base::error_kind::kBadSettings);
  CHECK_THAT(started.Failure().detail, Catch::Contains(address.ToText()));
}

}  // namespace
}  // namespace fireflyspar::nodes
