#include "decisions/organisation_index.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace fireflyspar::decisions {
namespace {

using config::organisation;

TEST_CASE("a key belongs to the organisation that has it, to the letter") {
  const std::vector<organisation> organisations = {
      {.name = "a", .keys = {"k1", "k2"}}, {.name = "b", .keys = {"k3"}}};
  const organisation_index index(organisations);
  REQUIRE(index.Find("k2") != nullptr);
  CHECK(index.Find("k2")->name == "a");
  CHECK(index.Find("k3")->name == "b");
  CHECK(index.Find("K3") == nullptr);
  CHECK(index.Find("k") == nullptr);
  CHECK(index.Find("") == nullptr);
  CHECK(index.Find(std::string(1'000'000, 'k')) == nullptr);
}

// Guards against requests that run under another organisation's name.
TEST_CASE("a key that two organisations have is of neither") {
  const std::vector<organisation> organisations = {
      {.name = "a", .keys = {"k1", "k1", "both"}},
      {.name = "b", .keys = {"both"}},
      {.name = "c", .keys = {"both"}}};
  const organisation_index index(organisations);
  CHECK(index.Find("k1")->name == "a");
  CHECK(index.Find("both") == nullptr);
  const auto errors = config::FindConflicts(organisations);
  REQUIRE(errors.size() == 2);
  for (const std::string& each : errors) {
    CHECK(each.find("both") == std::string::npos);
  }
}

TEST_CASE("an organisation's priority goes before its route's") {
  CHECK(CombinedPriority(0, 5) < CombinedPriority(1, 0));
  CHECK(CombinedPriority(1, 0) < CombinedPriority(1, 1));
  CHECK(CombinedPriority(1'000'000, 1'000'000) > CombinedPriority(5, 5));
}

}  // namespace
}  // namespace fireflyspar::decisions
