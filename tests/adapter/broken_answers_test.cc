// A store in trouble that sends what is no answer: a write may have been done,
// and nothing is read.
// clang-format off: this Asio uses std::exchange without including <utility>.
#include <utility>
// clang-format on

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "platform/store_client.h"
#include "tests/callers/scripted_server.h"

namespace fireflyspar::platform {
namespace {

namespace net = boost::asio;
using base::error_kind;
using callers::scripted_answer;
using callers::scripted_server;

struct broken_store {
  explicit broken_store(const std::string& bytes)
      : server([bytes](const std::string&) {
          return scripted_answer{.bytes = bytes, .closes = true};
        }) {}

  template <typename T>
  base::result<T> Wait(proxy::async_result<T> call) {
    std::optional<base::result<T>> ended;
    net::co_spawn(
        loop,
        [&]() -> net::awaitable<void> {
          ended.emplace(co_await std::move(call));
        },
        net::detached);
    loop.restart();
    while (!ended) loop.run_one();
    return *std::move(ended);
  }

  net::io_context loop;
  base::metrics metrics;
  scripted_server server;
  store_client client{{.executor = loop.get_executor(),
                       .address = server.Address(),
                       .metrics = &metrics}};
  proxy::object_store hooks = client.Hooks();
};

std::string BrokenAnswer() {
  const std::string rest = "Content-Length: 0\r\n\r\n";
  return GENERATE_COPY(
      "HTTP/1.1 000 OK\r\n" + rest, "HTTP/1.1 099 OK\r\n" + rest,
      "HTTP/1.1 101 OK\r\n" + rest, "HTTP/1.1 600 OK\r\n" + rest,
      "HTTP/1.1 200 OK\r\nNa me: v\r\n" + rest,
      "HTTP/1.1 200 OK\r\nNa\x01me: v\r\n" + rest,
      std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n"));
}

// Guards against a write that is taken for acknowledged: any status below 300
// counts as success.
TEST_CASE("a write to the store is acknowledged by an answer only") {
  const std::string bytes = BrokenAnswer();
  CAPTURE(bytes);
  broken_store store(bytes);
  const auto put = store.Wait(
      store.hooks.put_content("things", {.name = "a", .content = {{"n", 1}}}));
  REQUIRE_FALSE(put);
  CHECK(put.Failure().Kind() == error_kind::kResponseLost);
}

TEST_CASE("nothing is read from a store that sends no answer") {
  const std::string bytes = BrokenAnswer();
  CAPTURE(bytes);
  broken_store store(bytes);
  const auto listed = store.Wait(store.hooks.list("things", false));
  REQUIRE_FALSE(listed);
  CHECK(listed.Failure().Kind() == error_kind::kPlatformUnavailable);
}

}  // namespace
}  // namespace fireflyspar::platform
