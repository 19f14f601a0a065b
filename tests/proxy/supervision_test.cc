#include "proxy/supervision.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <stdexcept>
#include <string>
#include <vector>

namespace fireflyspar::proxy {
namespace {

// Guards against a process that one unexpected error takes down.
TEST_CASE("the loop runs on after a handler threw") {
  net::io_context loop;
  std::vector<std::string> errors;
  bool ran_after = false;
  net::post(loop, [] { throw std::runtime_error("broken"); });
  net::post(loop, [&] { ran_after = true; });
  RunSupervised(loop,
                [&](std::string_view detail) { errors.emplace_back(detail); });
  CHECK(ran_after);
  CHECK(errors == std::vector<std::string>{"broken"});
}

// Guards against a part of the process that ends unnoticed: the publication of
// the server, the following of the store.
TEST_CASE("work that an exception ended begins again") {
  net::io_context loop;
  int begun = 0;
  int errors = 0;
  SpawnSupervised(
      loop.get_executor(),
      [&]() -> net::awaitable<void> {
        if (++begun == 1) throw std::runtime_error("broken");
        co_return;
      },
      [&](std::string_view) { ++errors; });
  loop.run();
  CHECK(begun == 2);
  CHECK(errors == 1);
}

}  // namespace
}  // namespace fireflyspar::proxy
