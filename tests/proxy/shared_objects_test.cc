#include "proxy/shared_objects.h"

#include <catch2/catch.hpp>
#include <string>

namespace fireflyspar::proxy {
namespace {

using nlohmann::json;

stored_object Object(const std::string& name, base::store_revision revision) {
  return {.name = name,
          .revision = revision,
          .create_revision = {.number = 1, .era = 1},
          .content = {{"version", "r7"}, {"list", {1, 2, 3}}},
          .status = {{"state", "running"}}};
}

TEST_CASE("objects are unchanged after encoding and decoding") {
  shared_objects objects;
  const stored_object a = Object("a", {.number = 5, .era = 1});
  const stored_object b = Object("b", {.number = 4, .era = 2});
  CHECK(objects.Put(shared_kind::kRollouts, a));
  CHECK(objects.Put(shared_kind::kRollouts, b));
  const auto decoded =
      DecodeSharedObjects(objects.Encode(shared_kind::kRollouts));
  REQUIRE(decoded);
  REQUIRE(decoded->size() == 2);
  CHECK(decoded->front().name == "a");
  CHECK(decoded->front().revision == a.revision);
  CHECK(decoded->front().create_revision == a.create_revision);
  CHECK(decoded->front().content == a.content);
  CHECK(decoded->front().status == a.status);
}

TEST_CASE("a kind without objects is an empty list") {
  const auto decoded =
      DecodeSharedObjects(shared_objects().Encode(shared_kind::kConfiguration));
  REQUIRE(decoded);
  CHECK(decoded->empty());
}

TEST_CASE("an earlier or repeated object is not kept") {
  shared_objects objects;
  const base::store_revision later{.number = 5, .era = 1};
  CHECK(objects.Put(shared_kind::kConfiguration, Object("main", later)));
  CHECK_FALSE(objects.Put(shared_kind::kConfiguration, Object("main", later)));
  CHECK_FALSE(objects.Put(shared_kind::kConfiguration,
                          Object("main", {.number = 4, .era = 1})));
  CHECK(objects.Revisions()[0] == later);
  CHECK(objects.Revisions()[1].IsNone());
}

TEST_CASE("an object of a later era is kept, whatever its number") {
  shared_objects objects;
  objects.Put(shared_kind::kConfiguration,
              Object("main", {.number = 50, .era = 1}));
  CHECK(objects.Put(shared_kind::kConfiguration,
                    Object("main", {.number = 20, .era = 2})));
}

TEST_CASE("bytes of a peer that can't be read are refused") {
  const std::string bytes =
      GENERATE(std::string(), std::string("\x01"), std::string("\x81\x01"),
               std::string("\x81\xa0"), std::string(1'000'000, '\x81'));
  CHECK_FALSE(DecodeSharedObjects(bytes));
}

TEST_CASE("truncated objects are refused") {
  shared_objects objects;
  objects.Put(shared_kind::kConfiguration,
              Object("main", {.number = 5, .era = 1}));
  const std::string whole = objects.Encode(shared_kind::kConfiguration);
  for (std::size_t length = 0; length < whole.size(); ++length) {
    CHECK_FALSE(DecodeSharedObjects(whole.substr(0, length)));
  }
}

TEST_CASE("the path of each kind is read back") {
  for (const shared_kind kind : kSharedKinds) {
    CHECK(ParseSharedPath(SharedPath(kind)) == kind);
  }
  CHECK_FALSE(ParseSharedPath("/shared/other"));
  CHECK_FALSE(ParseSharedPath("/p/"));
}

}  // namespace
}  // namespace fireflyspar::proxy
