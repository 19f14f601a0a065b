#include "decisions/route_index.h"

#include <catch2/catch.hpp>
#include <map>

namespace fireflyspar::decisions {
namespace {

config::mesh_route Route(std::string name, std::string host,
                         std::string prefix) {
  return {.name = std::move(name),
          .host = std::move(host),
          .path_prefix = std::move(prefix),
          .targets = {{.service = "stock"}}};
}

route_index Index() {
  auto made = std::make_shared<config::mesh_configuration>();
  made->routes = {Route("all", "a.example", "/"),
                  Route("inner", "a.example", "/p/q/"),
                  Route("outer", "a.example", "/p/")};
  return route_index(made);
}

std::string NameOf(const config::mesh_route* route) {
  return route == nullptr ? "" : route->name;
}

TEST_CASE("the longest matching prefix wins in any order of the routes") {
  const route_index index = Index();
  CHECK(NameOf(index.Find("a.example", "/p/q/r")) == "inner");
  CHECK(NameOf(index.Find("a.example", "/p/x")) == "outer");
  CHECK(NameOf(index.Find("a.example", "/else")) == "all");
}

TEST_CASE("the query is not part of the path") {
  CHECK(NameOf(Index().Find("a.example", "/p/?x=/q/")) == "outer");
}

TEST_CASE("an unknown host has no route") {
  CHECK(Index().Find("b.example", "/p/") == nullptr);
}

TEST_CASE("targets get exactly their weights' share of a short series") {
  config::mesh_route route = Route("split", "a.example", "/");
  route.targets = {{.service = "stock", .weight = 90},
                   {.service = "history", .weight = 10}};
  weighted_target_selector selector;
  std::map<std::string, int> counts;
  for (int i = 0; i < 100; ++i) ++counts[selector.Next(route)];
  CHECK(counts["stock"] == 90);
  CHECK(counts["history"] == 10);
}

}  // namespace
}  // namespace fireflyspar::decisions
