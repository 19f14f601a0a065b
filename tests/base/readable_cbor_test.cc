// Values of other writers that the decoder can't read must cost only
// themselves, wherever they stand in a document.
#include "base/readable_cbor.h"

#include <catch2/catch.hpp>
#include <string>
#include <string_view>

namespace fireflyspar::base {
namespace {

using namespace std::string_literals;

constexpr std::size_t kMaxDepth = 4;

// Returns what the document becomes; "refused" if it is no CBOR.
std::string Readable(const std::string& bytes) {
  const auto made = MakeReadable(bytes, kMaxDepth);
  if (!made) return "refused";
  CHECK(made->replaced.empty() == (made->replacements == 0));
  return made->replacements == 0 ? bytes : made->replaced;
}

// An array of three items around the value, and what it becomes.
std::string Among(const std::string& value) {
  return "\x83\x01"s + value + "\x61\x7a"s;
}

// Guards against a list that can't be read for one value in it.
TEST_CASE("a value that can't be read becomes null among its neighbours") {
  const std::string value = GENERATE(
      "\xc2\x49\x01\x00\x00\x00\x00\x00\x00\x00\x00"s,  // Over 64 bits.
      "\xc3\x49\x01\x00\x00\x00\x00\x00\x00\x00\x00"s,  // The same, below.
      "\x3b\x80\x00\x00\x00\x00\x00\x00\x00"s,          // Below the least.
      "\xd9\xd9\xf7\x81\x01"s, "\xc1\xc1\x01"s,         // Tagged.
      "\xf7"s, "\xe0"s, "\xf8\xff"s,                    // Simple values.
      "\xa1\x01\x02"s, "\xbf\x41\x61\x81\x01\xff"s,     // Odd keys.
      "\xa2\x61\x61\x01\x62\xff\xfe\x82\x01\x02"s,      // A bad one, late.
      "\x62\xff\xfe"s, "\x7f\x61\x61\x61\xff\xff"s);    // No UTF-8.
  CHECK(Readable(Among(value)) == Among("\xf6"));
  CHECK(Readable("\xa1\x61\x6b"s + value) == "\xa1\x61\x6b\xf6"s);
  CHECK(Readable(value) == "\xf6"s);
}

// Guards against a stack that a megabyte of brackets exhausts.
TEST_CASE("what nests too deep becomes null") {
  const std::string kept = "\x81\x81\x81\xf6"s;
  CHECK(Readable(Among("\x81\x81\x81\x81\x01"s)) == Among(kept));
  CHECK(Readable(Among(std::string(1'000'000, '\x81') + "\x01")) ==
        Among(kept));
  CHECK(Readable(Among("\x9f\x9f\x9f\xbf\xff\xff\xff\xff"s)) ==
        Among("\x9f\x9f\x9f\xf6\xff\xff\xff"s));
}

TEST_CASE("several values are replaced, each for itself") {
  CHECK(Readable("\x84\xf7\x01\xc1\x02\x62\xff\xfe"s) ==
        "\x84\xf6\x01\xf6\xf6"s);
  // The inner value goes with the outer one.
  CHECK(Readable("\x82\xa2\x61\x61\xf7\x01\x02\x03"s) == "\x82\xf6\x03"s);
}

TEST_CASE("a document that can be read is unchanged") {
  const std::string bytes = GENERATE(
      "\x00"s, "\x1b\xff\xff\xff\xff\xff\xff\xff\xff"s,
      "\x3b\x7f\xff\xff\xff\xff\xff\xff\xff"s, "\xf4"s, "\xf5"s, "\xf6"s,
      "\xf9\x7e\x00"s, "\xfb\x7f\xf0\x00\x00\x00\x00\x00\x00"s, "\x40"s,
      "\x42\xff\xfe"s, "\x60"s, "\x62\xc3\xa9"s, "\x7f\x61\xc3\x61\xa9\xff"s,
      "\x5f\x41\xff\xff"s, "\x80"s, "\xa0"s, "\x9f\xff"s, "\xbf\xff"s,
      "\x81\x81\x81\x01"s, "\xa2\x61\x61\x80\x61\x62\xbf\x61\x63\x01\xff"s);
  CHECK(Readable(bytes) == bytes);
}

TEST_CASE("bytes that are not exactly one item are refused") {
  const std::string bytes =
      GENERATE(""s, "\x18"s, "\x62\x61"s, "\x81"s, "\xa1\x61\x61"s, "\x9f"s,
               "\xff"s, "\x01\x02"s, "\x1c"s, "\x1f"s, "\xdf\x01"s,
               "\xbf\x61\x61\xff"s, "\x7f\x7f\xff\xff"s, "\x7f\x41\x61\xff"s,
               "\x7f\x01\xff"s, "\x9b\xff\xff\xff\xff\xff\xff\xff\xff\x01"s,
               "\xc1"s, "\x81\xff"s, "\x5b\xff\xff\xff\xff\xff\xff\xff\xff"s);
  CHECK(Readable(bytes) == "refused");
}

}  // namespace
}  // namespace fireflyspar::base
