#include "platform/body.h"

#include <catch2/catch.hpp>
#include <string>

namespace fireflyspar::platform {
namespace {

using nlohmann::json;

// Each of these bytes begins an array with one element.
constexpr char kArrayOfOne = '\x81';
constexpr char kUnboundedArray = '\x9f';
constexpr char kUnboundedText = '\x7f';

TEST_CASE("a body is unchanged after encoding and decoding") {
  const json document = {{"list", {1, -2, 3.5, "text", nullptr, true}},
                         {"empty", json::array()},
                         {"object", {{"inner", json::object()}}}};
  CHECK(DecodeBody(EncodeBody(document)) == document);
}

// Guards against a crash: the library decodes nested values recursively, so
// that a megabyte of brackets would exhaust the stack.
TEST_CASE("a deeply nested body is refused") {
  const char opening = GENERATE(kArrayOfOne, kUnboundedArray, kUnboundedText);
  CHECK(DecodeBody(std::string(1'000'000, opening)).is_discarded());
}

TEST_CASE("many values side by side are not deep") {
  json wide = json::array();
  for (int i = 0; i < 1000; ++i) wide.push_back({{"n", json::array({i})}});
  CHECK(DecodeBody(EncodeBody(wide)) == wide);
}

TEST_CASE("a body that ends early is refused") {
  const std::string whole = EncodeBody({{"a", {1, 2, {{"b", "text"}}}}});
  for (std::size_t length = 0; length < whole.size(); ++length) {
    CHECK(DecodeBody(whole.substr(0, length)).is_discarded());
  }
}

}  // namespace
}  // namespace fireflyspar::platform
