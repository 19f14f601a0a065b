#include "proxy/gate_reachability.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <vector>

namespace fireflyspar::proxy {
namespace {

using net::ip::tcp;
using std::chrono::milliseconds;

// A gate on loopback that refuses connections until the test listens.
struct reach_fixture {
  reach_fixture() {
    acceptor.open(tcp::v4());
    acceptor.bind({net::ip::address_v4::loopback(), 0});
    gate.gate.port = acceptor.local_endpoint().port();
    directory.Put(gate);
  }

  net::io_context loop;
  tcp::acceptor acceptor{loop};
  base::event_log log{
      {.write = [](std::string_view bytes) { return bytes.size(); },
       .clock = base::SystemClock()}};
  decisions::server_entry gate{.instance = "n1",
                               .data_centre = "south",
                               .gate = {.ip = "127.0.0.1", .port = 0},
                               .server = {.id = "i-1", .service = "stock"}};
  decisions::server_directory directory;
  std::vector<std::string> reached;
  gate_reachability reach{{.executor = loop.get_executor(),
                           .random = base::SeededRandom(1),
                           .log = &log,
                           .data_centre = "north",
                           .directory = &directory,
                           .on_reached = [this](std::string_view instance) {
                             reached.emplace_back(instance);
                             loop.stop();
                           }}};
};

TEST_CASE("a gate that accepts connections again is found without a request") {
  reach_fixture fixture;
  fixture.acceptor.listen();
  fixture.reach.OnUnreachable(fixture.gate, std::chrono::steady_clock::now());
  fixture.loop.run();
  CHECK(fixture.reached == std::vector<std::string>{"n1"});
}

TEST_CASE("a gate whose entry was removed is not probed again") {
  reach_fixture fixture;
  fixture.reach.OnUnreachable(fixture.gate, std::chrono::steady_clock::now());
  fixture.directory.Remove("n1");
  fixture.loop.run();  // Returns because no work is left.
  CHECK(fixture.reached.empty());
}

TEST_CASE("the local data centre is never considered cut off") {
  reach_fixture fixture;
  const auto now = std::chrono::steady_clock::now();
  decisions::server_entry near = fixture.gate;
  near.data_centre = "north";
  fixture.reach.OnUnreachable(near, now);
  near.instance = "n2";
  fixture.reach.OnUnreachable(near, now);
  CHECK_FALSE(fixture.reach.IsCutOff("north", now));
}

}  // namespace
}  // namespace fireflyspar::proxy
