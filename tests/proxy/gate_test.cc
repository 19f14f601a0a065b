#include "proxy/gate.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace fireflyspar::proxy {
namespace {

using decisions::server_condition;

decisions::server_info Server() {
  return {.id = "i-1",
          .service = "stock",
          .version = "v1",
          .slots = 6,
          .condition = server_condition::kServing,
          .born_ms = 1000};
}

const base::address kServerAddress{.ip = "127.0.0.1", .port = 8080};

struct gate_fixture {
  net::io_context loop;
  base::metrics metrics;
  base::event_log log{
      {.write = [](std::string_view bytes) { return bytes.size(); },
       .clock = base::SystemClock()}};
  int changes = 0;
  gate tested{{.executor = loop.get_executor(),
               .metrics = &metrics,
               .log = &log,
               .on_change = [this](const auto&) { ++changes; }}};
};

// The pattern: processes are stopped and started again in turn while the
// servers beside them run on. Each waited for its server's next report.
TEST_CASE("a gate resumes with the server that the store names") {
  gate_fixture fixture;
  fixture.tested.Resume(Server(), kServerAddress);
  REQUIRE(fixture.tested.Server());
  CHECK(fixture.tested.Server()->id == "i-1");
}

TEST_CASE("what is resumed is not told to the store again") {
  gate_fixture fixture;
  fixture.tested.Resume(Server(), kServerAddress);
  CHECK(fixture.changes == 0);
}

TEST_CASE("a gate does not resume with a server that was leaving") {
  gate_fixture fixture;
  decisions::server_info leaving = Server();
  leaving.condition = server_condition::kDraining;
  fixture.tested.Resume(leaving, kServerAddress);
  CHECK_FALSE(fixture.tested.Server());
}

TEST_CASE("the first report of a resumed server counts") {
  gate_fixture fixture;
  fixture.tested.Resume(Server(), kServerAddress);
  decisions::server_info leaving = Server();
  leaving.condition = server_condition::kDraining;
  CHECK(fixture.tested.OnReport(
      {.server = leaving, .address = kServerAddress, .sequence = 1}));
  CHECK(fixture.tested.Server()->condition == server_condition::kDraining);
}

TEST_CASE("a gate that a server reported to does not resume another") {
  gate_fixture fixture;
  decisions::server_info reported = Server();
  reported.id = "i-2";
  reported.born_ms = 500;
  fixture.tested.OnReport(
      {.server = reported, .address = kServerAddress, .sequence = 1});
  fixture.tested.Resume(Server(), kServerAddress);
  CHECK(fixture.tested.Server()->id == "i-2");
}

TEST_CASE("a resumed server that leaves is closed at once") {
  gate_fixture fixture;
  fixture.tested.Resume(Server(), kServerAddress);
  fixture.tested.OnLeave("i-1");
  CHECK(fixture.tested.Server()->condition == server_condition::kDraining);
}

}  // namespace
}  // namespace fireflyspar::proxy
