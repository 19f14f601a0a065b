#include "decisions/server_notices.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace fireflyspar::decisions {
namespace {

using std::chrono::milliseconds;

constexpr base::steady_instant kStart{std::chrono::hours(1)};
constexpr server_notices kNothing;
constexpr server_notices kTen{.requests_per_second = 10};

TEST_CASE("a limit holds until a later request is answered without one") {
  notice_tracker tested;
  tested.OnAnswer(kTen, {.sent = kStart}, kStart + milliseconds(100));
  CHECK(tested.Current() == kTen);
  tested.OnAnswer(kNothing, {.sent = kStart + milliseconds(150)},
                  kStart + milliseconds(200));
  CHECK(tested.Current() == kNothing);
}

// Guards against a limit that is lifted by an answer that the server wrote
// before it named the limit.
TEST_CASE("an answer to an earlier request does not lift a limit") {
  notice_tracker tested;
  tested.OnAnswer(kTen, {.sent = kStart}, kStart + milliseconds(100));
  tested.OnAnswer(kNothing, {.sent = kStart + milliseconds(50)},
                  kStart + milliseconds(200));
  CHECK(tested.Current() == kTen);
}

TEST_CASE("a refusal without a limit does not lift one") {
  notice_tracker tested;
  tested.OnAnswer(kTen, {.sent = kStart}, kStart);
  tested.OnAnswer(kNothing,
                  {.sent = kStart + milliseconds(50), .was_run = false},
                  kStart + milliseconds(60));
  CHECK(tested.Current() == kTen);
}

TEST_CASE("the latest limit holds") {
  notice_tracker tested;
  tested.OnAnswer(kTen, {.sent = kStart}, kStart);
  tested.OnAnswer({.requests_per_second = 3.5}, {.sent = kStart}, kStart);
  CHECK(tested.Current().requests_per_second == 3.5);
}

TEST_CASE("a server that leaves stays one that leaves, until another start") {
  notice_tracker tested;
  tested.OnAnswer({.is_leaving = true}, {.sent = kStart}, kStart);
  tested.OnAnswer(kNothing, {.sent = kStart + milliseconds(1)}, kStart);
  CHECK(tested.Current().is_leaving);
  tested.Restart();
  CHECK(tested.Current() == kNothing);
}

TEST_CASE("what peers were told holds until an answer tells more") {
  notice_tracker tested;
  tested.OnPeer({.requests_per_second = 20}, kStart);
  tested.OnPeer(kTen, kStart);
  tested.OnPeer({.requests_per_second = 30}, kStart);
  CHECK(tested.Current() == kTen);
  tested.OnAnswer(kNothing, {.sent = kStart + milliseconds(1)},
                  kStart + milliseconds(2));
  tested.OnPeer(kTen, kStart + milliseconds(3));
  CHECK(tested.Current() == kNothing);
}

}  // namespace
}  // namespace fireflyspar::decisions
