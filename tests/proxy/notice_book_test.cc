#include "proxy/notice_book.h"

#include <catch2/catch.hpp>

namespace fireflyspar::proxy {
namespace {

decisions::server_entry Entry(std::int64_t start_ms) {
  return {.instance = "n1", .server = {.id = "i-1", .start_ms = start_ms}};
}

told_notices Told(const decisions::server_notices& said) {
  return {.server_id = "i-1", .start_ms = 5, .said = said};
}

TEST_CASE("what was told holds for the start that said it") {
  notice_book book;
  book.Put("n1", Told({.requests_per_second = 4}));
  REQUIRE(book.Find(Entry(5)));
  CHECK(book.Find(Entry(5))->said.requests_per_second == 4);
  CHECK_FALSE(book.Find(Entry(6)));
  CHECK_FALSE(book.IsLeaving(Entry(5)));
}

TEST_CASE("a limit that the gate no longer tells is forgotten") {
  notice_book book;
  book.Put("n1", Told({.requests_per_second = 4}));
  book.Put("n1", std::nullopt);
  CHECK_FALSE(book.Find(Entry(5)));
}

// Guards against a server that is leaving being used again: its gate was
// restarted and knows nothing, and its entry in the store still says that it
// serves.
TEST_CASE("a server that leaves is remembered when its gate forgets it") {
  notice_book book;
  book.Put("n1", Told({.is_leaving = true}));
  book.Put("n1", std::nullopt);
  CHECK(book.IsLeaving(Entry(5)));
  book.Put("n1", Told({.requests_per_second = 4}));
  CHECK(book.IsLeaving(Entry(5)));
  CHECK_FALSE(book.IsLeaving(Entry(6)));
}

TEST_CASE("what was told by an instance that is gone is deleted") {
  notice_book book;
  book.Put("n1", Told({.is_leaving = true}));
  book.KeepOnly(decisions::server_directory());
  CHECK_FALSE(book.IsLeaving(Entry(5)));
}

}  // namespace
}  // namespace fireflyspar::proxy
