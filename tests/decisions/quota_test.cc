#include <catch2/catch.hpp>
#include <chrono>

#include "decisions/quota_granter.h"
#include "decisions/quota_owner.h"
#include "decisions/quota_pool.h"

namespace fireflyspar::decisions {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::steady_instant kNow{std::chrono::hours(1)};
constexpr char kOrganisation[] = "bureau";

quota_request Ask(int wanted, double per_second = 30, double burst = 30,
                  std::uint64_t version = 1) {
  return {
      .organisation = kOrganisation,
      .limit = {.limit = {.requests_per_second = per_second, .burst = burst},
                .version = version},
      .wanted = wanted,
      .owned_since = kNow};
}

// Guards against a limit that is granted anew after each restart.
TEST_CASE("a bucket is empty when the instance begins to own it") {
  quota_granter granter({.data_centres = 3});
  const quota_grant first = granter.Take(Ask(5), kNow);
  CHECK(first.tokens == 0);
  CHECK(first.wait == milliseconds(100));
  CHECK(granter.Take(Ask(5), kNow + milliseconds(350)).tokens == 3);
}

TEST_CASE("a bucket holds its part of the burst, less what is not tolerated") {
  quota_granter strict({.data_centres = 3});
  CHECK(strict.Take(Ask(100), kNow + seconds(60)).tokens == 7);
  quota_granter tolerant(
      {.data_centres = 3, .tolerance = std::chrono::duration<double>(0.5)});
  CHECK(tolerant.Take(Ask(100), kNow + seconds(60)).tokens == 10);
}

// Guards against a burst under the old limit after it was lowered.
TEST_CASE("a bucket never holds more than a lowered limit allows") {
  quota_granter granter({});
  granter.Take(Ask(1), kNow + seconds(60));
  const auto later = kNow + seconds(61);
  CHECK(granter.Take(Ask(100, 3, 3, 2), later).tokens == 2);
  // A router that has not heard of the new limit does not bring the old back.
  CHECK(granter.Take(Ask(100), later + seconds(60)).tokens == 2);
}

TEST_CASE("a forgotten bucket that was full is full again") {
  quota_granter granter({});
  granter.Take(Ask(1), kNow + seconds(60));
  granter.ForgetFull(kNow + seconds(90));
  CHECK(granter.Take(Ask(100), kNow + seconds(90)).tokens == 21);
}

TEST_CASE("tokens expire and are given back for the rest of their time") {
  quota_pool pool;
  pool.OnGrant(kOrganisation, 2, kNow + milliseconds(300));
  const auto taken = pool.Take(kOrganisation, kNow);
  REQUIRE(taken);
  pool.PutBack(kOrganisation, *taken);
  CHECK(pool.Take(kOrganisation, kNow + milliseconds(299)));
  CHECK_FALSE(pool.Take(kOrganisation, kNow + milliseconds(300)));
}

TEST_CASE("a router asks for the demand of a short time") {
  quota_pool pool;
  CHECK(pool.Wanted(kOrganisation, kNow) == 1);
  for (int i = 0; i < 200; ++i) pool.OnDemand(kOrganisation, kNow);
  CHECK(pool.Wanted(kOrganisation, kNow) == 50);
  CHECK(pool.Wanted(kOrganisation, kNow + seconds(10)) == 1);
}

TEST_CASE("an owner that has nothing is not asked before it has") {
  quota_pool pool;
  pool.OnNoGrant(kOrganisation, "n1", kNow + seconds(1));
  CHECK(pool.NoGrantUntil(kOrganisation, "n1") == kNow + seconds(1));
  CHECK(pool.HasAnswered(kOrganisation, "n1"));
  pool.OnUnreachable(kOrganisation, "n1", kNow + seconds(2));
  CHECK_FALSE(pool.HasAnswered(kOrganisation, "n1"));
  CHECK(pool.NoGrantUntil(kOrganisation, "n2") <= kNow);
}

server_directory Directory(int instances) {
  server_directory directory;
  for (int i = 0; i < instances; ++i) {
    directory.Put({.instance = "n" + std::to_string(i),
                   .data_centre = i % 2 == 0 ? "east" : "west",
                   .gate = {.ip = "10.0.0.1",
                            .port = static_cast<std::uint16_t>(i + 1)}});
  }
  return directory;
}

TEST_CASE("all agree on one owner in each data centre, the own one first") {
  const server_directory directory = Directory(8);
  quota_owner east("n0", "east", true);
  quota_owner west("n1", "west", true);
  east.OnDirectory(directory, kNow);
  west.OnDirectory(directory, kNow);
  const auto of_east = east.OwnersOf(kOrganisation);
  const auto of_west = west.OwnersOf(kOrganisation);
  REQUIRE(of_east.size() == 2);
  CHECK(of_east[0] == of_west[1]);
  CHECK(of_east[1] == of_west[0]);
  CHECK(directory.Entries().at(of_east[0]).data_centre == "east");
}

TEST_CASE("an instance that joins owns nothing until all have heard of it") {
  const server_directory before = Directory(1);
  server_directory after = before;
  after.Put({.instance = "new",
             .data_centre = "west",
             .gate = {.ip = "10.0.0.1", .port = 99}});
  quota_owner joined("new", "west", false);
  joined.OnDirectory(before, kNow);
  joined.OnDirectory(after, kNow);
  CHECK_FALSE(joined.OwnedSince(kOrganisation, kNow + seconds(5)));
  CHECK(joined.OwnedSince(kOrganisation, kNow + seconds(6)));
  joined.OnLeave();
  CHECK_FALSE(joined.OwnedSince(kOrganisation, kNow + seconds(6)));
}

TEST_CASE("an instance whose entry was in the store owns at once") {
  quota_owner restarted("n0", "east", false);
  restarted.OnDirectory(Directory(1), kNow);
  CHECK(restarted.OwnedSince(kOrganisation, kNow) == kNow);
}

}  // namespace
}  // namespace fireflyspar::decisions
