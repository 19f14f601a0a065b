#include "decisions/routing.h"

#include <catch2/catch.hpp>
#include <map>

#include "decisions/server_index.h"

namespace fireflyspar::decisions {
namespace {

using config::visibility;

const config::preset kPreset = {
    .routes = {{.name = "hidden", .path_prefix = "/a/in", .service = "s"},
               {.name = "posts",
                .methods = {"POST"},
                .path_prefix = "/a",
                .service = "s",
                .visible_from = visibility::kOutside},
               {.name = "beta",
                .path_prefix = "/a",
                .headers = {{.name = "x-beta", .value = "1"}},
                .service = "s",
                .visible_from = visibility::kOutside},
               {.name = "rest",
                .path_prefix = "/a",
                .service = "s",
                .visible_from = visibility::kOutside}}};

std::string NameOf(std::string_view method, std::string_view path,
                   visibility from, std::string_view beta = "") {
  const config::route* route =
      MatchRoute(kPreset,
                 {.method = method,
                  .path = path,
                  .header =
                      [beta](std::string_view name) {
                        return name == "x-beta" ? beta : std::string_view();
                      }},
                 from);
  return route == nullptr ? "" : route->name;
}

TEST_CASE("the first route that matches is taken, by whole path segments") {
  CHECK(NameOf("POST", "/a", visibility::kOutside) == "posts");
  CHECK(NameOf("GET", "/a/b", visibility::kOutside) == "rest");
  CHECK(NameOf("GET", "/a/b", visibility::kOutside, "1") == "beta");
  CHECK(NameOf("GET", "/ab", visibility::kOutside).empty());
  CHECK(NameOf("GET", "/", visibility::kOutside).empty());
}

TEST_CASE("a hidden route is skipped as if it did not exist") {
  CHECK(NameOf("GET", "/a/in", visibility::kInside) == "hidden");
  CHECK(NameOf("GET", "/a/in", visibility::kOutside) == "rest");
}

TEST_CASE("paths that a server may interpret differently are not plain") {
  for (const char* path : {"/", "/a", "/a/b.c", "/a/..b", "/a//b"}) {
    INFO(path);
    CHECK(IsPlainPath(path));
  }
  for (const char* path : {"", "a", "*", "/a/..", "/a/./b", "/..", "/a/../b",
                           "/%2E%2e/a", "/a%2fb", "/a%5Cb", "/a\\b"}) {
    INFO(path);
    CHECK_FALSE(IsPlainPath(path));
  }
}

TEST_CASE("moves shift shares in a chain") {
  const config::service service = {
      .name = "s", .versions = {{.version = "v1", .percent = 100}}};
  const std::vector<move> moves = {
      {.service = "s", .old_version = "v1", .new_version = "v2"},
      {.service = "other", .old_version = "v1", .new_version = "v9"},
      {.service = "s", .old_version = "v2", .new_version = "v3"}};
  // Half of v1's share goes to v2, then half of v2's to v3: 0.5, 0.25, 0.25.
  std::map<std::string, int> counts;
  constexpr int kDraws = 1000;
  for (int draw = 0; draw < kDraws; ++draw) {
    const double unit = (draw + 0.5) / kDraws;
    ++counts[ChooseVersion(
        service, moves, [](const move&) { return 0.5; }, unit)];
  }
  CHECK(counts ==
        std::map<std::string, int>{{"v1", 500}, {"v2", 250}, {"v3", 250}});
}

TEST_CASE("only servers that may be given new work are usable") {
  std::vector<member_record> members;
  for (const server_state state :
       {server_state::kAbsent, server_state::kStarting, server_state::kServing,
        server_state::kDraining}) {
    for (const node_state node : {node_state::kAlive, node_state::kSuspect,
                                  node_state::kDead, node_state::kLeft}) {
      members.push_back(
          {.state = node,
           .server = {.service = "s", .version = "v1", .state = state}});
    }
  }
  const server_index index(members);
  CHECK(index.Usable("s", "v1").size() == 4);
  CHECK(index.Usable("s", "v2").empty());
  CHECK(index.Usable("t", "v1").empty());
}

}  // namespace
}  // namespace fireflyspar::decisions
