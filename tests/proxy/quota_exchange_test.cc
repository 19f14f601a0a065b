// Two processes in two data centres that share the limit of an organisation,
// over loopback.
#include "proxy/quota_exchange.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <thread>

#include "../free_address.h"
#include "proxy/listener.h"

namespace fireflyspar::proxy {
namespace {

using decision = quota_result::decision;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct quota_fixture {
  quota_fixture() {
    for (const auto* name : {"east", "west"}) {
      directory.Put({.instance = std::string("n-") + name,
                     .data_centre = name,
                     .gate = tests::FreeAddress()});
    }
    east = Make("east");
    west = Make("west");
    listener_at_west.emplace(
        loop.get_executor(),
        listener_options{
            .address = directory.Entries().at("n-west").gate,
            .handler = [this](served_call& call) { return Serve(call); }});
    REQUIRE(listener_at_west->Start());
  }

  std::unique_ptr<quota_exchange> Make(const std::string& data_centre) {
    auto made = std::make_unique<quota_exchange>(quota_exchange_options{
        .executor = loop.get_executor(),
        .instance = "n-" + data_centre,
        .data_centre = data_centre,
        .limits = {.data_centres = 2,
                   .tolerance = std::chrono::duration<double>(1)},
        .is_first_start = true,
        .directory = &directory,
        .log = &log,
        .metrics = &metrics});
    made->OnDirectoryChange();
    return made;
  }

  net::awaitable<backend_servers::http_response> Serve(served_call& call) {
    ++served;
    co_return west->Serve(call.request);
  }

  quota_result Admit() {
    std::optional<quota_result> ended;
    net::co_spawn(loop, east->Admit(limited, 1),
                  [&](const std::exception_ptr&, quota_result result) {
                    ended = result;
                  });
    loop.restart();
    while (!ended) loop.run_one();
    return *ended;
  }

  net::io_context loop;
  base::metrics metrics;
  base::event_log log{
      {.write = [](std::string_view bytes) { return bytes.size(); },
       .clock = base::SystemClock()}};
  decisions::server_directory directory;
  config::organisation limited{
      .name = "bureau", .limit = {.requests_per_second = 20, .burst = 20}};
  std::unique_ptr<quota_exchange> east;
  std::unique_ptr<quota_exchange> west;
  std::optional<listener> listener_at_west;
  int served = 0;
};

TEST_CASE("an organisation without a limit costs no message") {
  quota_fixture f;
  f.limited.limit = {};
  CHECK(f.Admit().made == decision::kAdmitted);
  CHECK(f.served == 0);
}

TEST_CASE("a router uses the parts of all data centres, and no more") {
  quota_fixture f;
  std::this_thread::sleep_for(milliseconds(600));
  int admitted = 0;
  quota_result last;
  while (last.made == decision::kAdmitted) {
    last = f.Admit();
    if (last.made == decision::kAdmitted) ++admitted;
  }
  CHECK(last.made == decision::kOverLimit);
  CHECK(last.wait > base::duration(0));
  CHECK(f.served > 0);
  // Both parts have come up for 0.6 s and for as long as the test took.
  CHECK(admitted >= 10);
  CHECK(admitted <= 22);
}

// Guards against a flood of messages where a limit binds.
TEST_CASE("owners that have nothing are not asked again at once") {
  quota_fixture f;
  f.limited.limit = {.requests_per_second = 0.1, .burst = 1};
  for (int i = 0; i < 50; ++i) {
    CHECK(f.Admit().made == decision::kOverLimit);
  }
  CHECK(f.served == 1);
}

TEST_CASE(
    "the part of the own data centre is there while others can't be reached") {
  quota_fixture f;
  f.listener_at_west->Close();
  std::this_thread::sleep_for(milliseconds(300));
  CHECK(f.Admit().made == decision::kAdmitted);
}

TEST_CASE("without any owner nobody can tell") {
  quota_fixture f;
  f.listener_at_west->Close();
  f.east->OnLeave();
  const quota_result result = f.Admit();
  CHECK(result.made == decision::kUnknown);
  CHECK(result.wait > base::duration(0));
}

TEST_CASE("the token of a request that has not run is used by the next") {
  quota_fixture f;
  f.listener_at_west->Close();
  f.limited.limit = {.requests_per_second = 4, .burst = 4};
  std::this_thread::sleep_for(milliseconds(600));
  const quota_result first = f.Admit();
  REQUIRE(first.made == decision::kAdmitted);
  CHECK(f.Admit().made != decision::kAdmitted);
  f.east->PutBack(f.limited, first);
  CHECK(f.Admit().made == decision::kAdmitted);
}

TEST_CASE("a message that can't be read grants nothing") {
  quota_fixture f;
  const std::string text = GENERATE("", "bureau", "bureau 1 20000 20000 0",
                                    "bureau 1 20000 20000 99999999",
                                    "bureau 1 -5 20000 1", "bureau 1 x 1 1");
  backend_servers::http_request request(backend_servers::http::verb::get,
                                        kQuotaPath, 11);
  request.set("fireflyspar-quota", text);
  CHECK(f.west->Serve(request).result_int() == 400);
}

}  // namespace
}  // namespace fireflyspar::proxy
