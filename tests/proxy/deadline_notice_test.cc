#include "proxy/deadline_notice.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace fireflyspar::proxy {
namespace {

using std::chrono::milliseconds;

TEST_CASE("a notice of deadlines is read back") {
  const deadline_notice notice{.left = milliseconds(1500),
                               .request_ids = {"a", "", "b c%", "\xff"}};
  CHECK(ParseDeadlineNotice(ToText(notice)) == notice);
  const deadline_notice none{.left = milliseconds(0)};
  CHECK(ParseDeadlineNotice(ToText(none)) == none);
}

// Guards against a gate that an odd message of a peer takes down.
TEST_CASE("a text that is no notice of deadlines is refused") {
  const char* const text =
      GENERATE("", "soon", "-5 a", "5  a", "5 %4", "9223372036854775807 a",
               "99999999999999999999 a");
  CAPTURE(text);
  CHECK_FALSE(ParseDeadlineNotice(text));
}

}  // namespace
}  // namespace fireflyspar::proxy
