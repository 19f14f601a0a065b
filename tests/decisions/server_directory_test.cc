#include "decisions/server_directory.h"

#include <catch2/catch.hpp>

namespace fireflyspar::decisions {
namespace {

server_entry Entry(std::string instance, std::uint16_t port,
                   std::int64_t start_ms = 1) {
  return {.instance = std::move(instance),
          .data_centre = "here",
          .gate = {.ip = "10.0.0.1", .port = port},
          .server = {.id = "i-1",
                     .service = "stock",
                     .version = "v1",
                     .slots = 6,
                     .start_ms = start_ms}};
}

TEST_CASE("serving servers are found by their service") {
  server_directory directory;
  CHECK(directory.Put(Entry("a", 1)));
  REQUIRE(directory.Serving("stock").size() == 1);
  CHECK(directory.Serving("stock").front()->instance == "a");
  CHECK(directory.Serving("history").empty());
}

TEST_CASE("putting the same entry again changes nothing") {
  server_directory directory;
  directory.Put(Entry("a", 1));
  CHECK_FALSE(directory.Put(Entry("a", 1)));
}

TEST_CASE("a draining server is not listed as serving") {
  server_directory directory;
  server_entry entry = Entry("a", 1);
  directory.Put(entry);
  entry.server.condition = server_condition::kDraining;
  directory.Put(entry);
  CHECK(directory.Serving("stock").empty());
}

// Guards against routing by an outdated entry: the address of an instance that
// is gone for good is given to another instance.
TEST_CASE("of two entries with the same address the latest start counts") {
  server_directory directory;
  directory.Put(Entry("gone", 1, 100));
  directory.Put(Entry("next", 1, 200));
  REQUIRE(directory.Serving("stock").size() == 1);
  CHECK(directory.Serving("stock").front()->instance == "next");
}

TEST_CASE("entries of instances that are not in the list are removed") {
  server_directory directory;
  directory.Put(Entry("a", 1));
  directory.Put(Entry("b", 2));
  const std::vector<std::string> kept{"b"};
  directory.KeepOnly(kept);
  CHECK(directory.Entries().size() == 1);
}

TEST_CASE("the main version is the one that most servers have") {
  server_directory directory;
  directory.Put(Entry("a", 1));
  directory.Put(Entry("b", 2));
  server_entry fresh = Entry("c", 3);
  fresh.server.version = "v2";
  directory.Put(fresh);
  CHECK(directory.MainVersion("stock", "") == "v1");
  CHECK(directory.MainVersion("stock", "v1") == "v2");
}

}  // namespace
}  // namespace fireflyspar::decisions
