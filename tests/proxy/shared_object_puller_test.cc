#include "proxy/shared_object_puller.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "../free_address.h"
#include "proxy/listener.h"

namespace fireflyspar::proxy {
namespace {

using std::chrono::milliseconds;
namespace http = backend_servers::http;

// A peer on a loopback port, and a process that asks it.
struct puller_fixture {
  puller_fixture() {
    theirs.Put(shared_kind::kConfiguration,
               {.name = "main",
                .revision = {.number = 7, .era = 1},
                .content = {{"version", "r7"}}});
    REQUIRE(peer.Start());
  }

  net::awaitable<backend_servers::http_response> Answer(served_call& call) {
    ++requests;
    const auto kind =
        ParseSharedPath(backend_servers::ToView(call.request.target()));
    backend_servers::http_response answer(status, 11);
    if (kind) answer.body() = theirs.Encode(*kind);
    answer.prepare_payload();
    co_return answer;
  }

  // Tells the puller what the peer holds, and runs the loop for a moment.
  void OnPeerHolds() {
    tested.OnPeerHolds(address, theirs.Revisions(), own.Revisions());
    loop.run_for(milliseconds(200));
    loop.restart();
  }

  net::io_context loop;
  base::address address = tests::FreeAddress();
  shared_objects theirs;
  shared_objects own;
  http::status status = http::status::ok;
  int requests = 0;
  listener peer{loop.get_executor(),
                {.address = address, .handler = [this](served_call& call) {
                   return Answer(call);
                 }}};
  base::event_log log{
      {.write = [](std::string_view bytes) { return bytes.size(); },
       .clock = base::SystemClock()}};
  shared_object_puller tested{
      {.executor = loop.get_executor(),
       .log = &log,
       .on_object = [this](shared_kind kind, const stored_object& object) {
         own.Put(kind, object);
       }}};
};

TEST_CASE("a process asks a peer that holds more, and then no more") {
  puller_fixture fixture;
  fixture.OnPeerHolds();
  CHECK(fixture.own.Revisions() == fixture.theirs.Revisions());
  CHECK(fixture.requests == 1);
  fixture.OnPeerHolds();
  CHECK(fixture.requests == 1);
}

TEST_CASE("many answers of peers lead to one request at a time") {
  puller_fixture fixture;
  for (int i = 0; i < 10; ++i) {
    fixture.tested.OnPeerHolds(fixture.address, fixture.theirs.Revisions(),
                               fixture.own.Revisions());
  }
  fixture.OnPeerHolds();
  CHECK(fixture.requests == 1);
}

TEST_CASE("after a failure a peer is asked again") {
  puller_fixture fixture;
  fixture.status = http::status::service_unavailable;
  fixture.OnPeerHolds();
  CHECK(fixture.own.Revisions()[0].IsNone());
  fixture.status = http::status::ok;
  fixture.OnPeerHolds();
  CHECK(fixture.own.Revisions() == fixture.theirs.Revisions());
}

}  // namespace
}  // namespace fireflyspar::proxy
