#include "base/error.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

namespace fireflyspar::base {
namespace {

TEST_CASE("the error table has one row for each kind, in order") {
  int expected = 1;
  for (const error_info& row : ErrorTable()) {
    CHECK(static_cast<int>(row.kind) == expected);
    ++expected;
  }
  CHECK(expected == static_cast<int>(error_kind::kInternal) + 1);
}

TEST_CASE("every row of the error table has a unique name and valid codes") {
  std::set<std::string_view> names;
  for (const error_info& row : ErrorTable()) {
    INFO(row.name);
    CHECK(names.insert(row.name).second);
    CHECK(row.http_status >= 400);
    CHECK(row.http_status < 600);
    CHECK(row.exit_code != 0);
    CHECK(make_error_code(row.kind).message() == row.name);
  }
}

TEST_CASE("errors with status 429 or 503 have a Retry-After time") {
  for (const error_info& row : ErrorTable()) {
    INFO(row.name);
    const bool asks_to_wait = row.http_status == 503 || row.http_status == 429;
    if (asks_to_wait) CHECK(row.retry_after.count() > 0);
  }
}

}  // namespace
}  // namespace fireflyspar::base
