#include <catch2/catch.hpp>
#include <chrono>

#include "notice_server.h"

namespace fireflyspar::proxy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// What a server that names a limit may get in a span at most: one and a half
// times what the limit allows, and five requests.
double Allowed(double per_second, std::chrono::duration<double> span) {
  constexpr double kTolerance = 1.5;
  constexpr double kMoreRequests = 5;
  return kTolerance * per_second * span.count() + kMoreRequests;
}

// How long after the first answer with a limit the limit has to hold.
constexpr milliseconds kNoticeTime{500};

// Guards against LIMIT: a server that named a limit got as many requests as
// before, since its gate admitted by slots alone.
TEST_CASE("a server that names a limit gets no more than that") {
  notice_server server({.limit = "10.5"});
  server.OfferFor(milliseconds(2500), milliseconds(4));
  const auto holds_from = server.Arrivals().front() + kNoticeTime;
  CHECK(static_cast<double>(server.MostArrivalsIn(seconds(1), holds_from)) <=
        Allowed(10.5, seconds(1)));
}

}  // namespace
}  // namespace fireflyspar::proxy
