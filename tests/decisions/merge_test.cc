#include <array>
#include <catch2/catch.hpp>

#include "decisions/member.h"
#include "decisions/move.h"
#include "decisions/rendezvous.h"

namespace fireflyspar::decisions {
namespace {

TEST_CASE("a rolled-back state wins over running, in either order") {
  const move running{.id = "m", .state = move_state::kRunning};
  const move rolled_back{.id = "m", .state = move_state::kRolledBack};
  CHECK(Merge(running, rolled_back) == rolled_back);
  CHECK(Merge(rolled_back, running) == rolled_back);
}

TEST_CASE("an outcome recorded at the platform wins over any that is not") {
  const move done{.id = "m", .state = move_state::kDone, .is_final = true};
  const move rolled_back{.id = "m", .state = move_state::kRolledBack};
  CHECK(Merge(done, rolled_back) == done);
  CHECK(Merge(rolled_back, done) == done);
}

TEST_CASE(
    "equal outcomes with different evidence merge alike in either order") {
  const move left{.id = "m", .state = move_state::kRolledBack, .evidence = "x"};
  const move right{
      .id = "m", .state = move_state::kRolledBack, .evidence = "y"};
  CHECK(Merge(left, right) == Merge(right, left));
}

TEST_CASE("merging keeps the readiness of every data centre") {
  const move left{.id = "m", .ready_data_centres = {"fukuoka", "kumamoto"}};
  const move right{.id = "m", .ready_data_centres = {"kagoshima", "kumamoto"}};
  const std::vector<std::string> all{"fukuoka", "kagoshima", "kumamoto"};
  CHECK(Merge(left, right).ready_data_centres == all);
}

TEST_CASE("a later incarnation supersedes any record of an earlier one") {
  const member_record old_run{.incarnation = 1, .sequence = 900};
  const member_record new_run{.incarnation = 2, .sequence = 1};
  CHECK(Supersedes(new_run, old_run));
  CHECK_FALSE(Supersedes(old_run, new_run));
  CHECK_FALSE(Supersedes(old_run, old_run));
}

TEST_CASE("rendezvous choice does not depend on the order of the instances") {
  const std::array<std::string, 4> forwards{"a", "b", "c", "d"};
  const std::array<std::string, 4> backwards{"d", "c", "b", "a"};
  CHECK(ChooseByRendezvous("watch", forwards, 2) ==
        ChooseByRendezvous("watch", backwards, 2));
}

TEST_CASE("rendezvous choice moves only the jobs of an instance that leaves") {
  const std::array<std::string, 4> all{"a", "b", "c", "d"};
  for (int job = 0; job < 100; ++job) {
    const std::string name = std::to_string(job);
    const std::string owner = ChooseByRendezvous(name, all, 1).front();
    if (owner == "d") continue;
    const std::array<std::string, 3> rest{"a", "b", "c"};
    CHECK(ChooseByRendezvous(name, rest, 1).front() == owner);
  }
}

}  // namespace
}  // namespace fireflyspar::decisions
