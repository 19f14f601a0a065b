#include "decisions/crash_suspects.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>

namespace fireflyspar::decisions {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr base::steady_instant kStart{hours(100)};
constexpr char kService[] = "stock";

request_identity IdentityOf(const std::string& name) {
  return {.head_hash = std::hash<std::string>()(name), .digest = name};
}

// One process's knowledge, and requests that it lets in.
struct process {
  suspicion StateOf(const std::string& name, base::steady_instant now = kStart,
                    const std::string& version = "v1") const {
    const suspect* const known = book.Find(kService, IdentityOf(name));
    return known == nullptr ? suspicion::kNone : Judge(*known, version, now);
  }

  suspect_run Admit(const std::string& name, const std::string& server,
                    base::steady_instant now = kStart,
                    const std::string& version = "v1") const {
    const suspect* const known = book.Find(kService, IdentityOf(name));
    return {.service = kService,
            .version = version,
            .identity = IdentityOf(name),
            .admission = crash_suspects::Admit(known, version, now),
            .server = {server, 1},
            .instance = "at-" + server};
  }

  // Lets the request in, and the server ends under it.
  void EndUnder(const std::string& name, const std::string& server,
                base::steady_instant now = kStart,
                const std::string& version = "v1") {
    book.OnServerEnd(Admit(name, server, now, version), now);
  }

  void MergeFrom(const process& other, base::steady_instant now = kStart) {
    for (const suspect* each : other.book.All()) book.Merge(*each, now);
  }

  crash_suspects book;
};

TEST_CASE("a request is withheld after three servers, one after the other") {
  process tested;
  tested.EndUnder("bad", "a");
  CHECK(tested.StateOf("bad") == suspicion::kSuspected);
  tested.EndUnder("bad", "b");
  CHECK(tested.StateOf("bad") == suspicion::kOnTrial);
  tested.EndUnder("bad", "c");
  CHECK(tested.StateOf("bad") == suspicion::kWithheld);
  CHECK(tested.StateOf("other") == suspicion::kNone);
}

// Guards against refusing what was in flight when the power of many servers
// failed.
TEST_CASE("servers that end at the same moment count once") {
  process tested;
  std::vector<suspect_run> in_flight;
  for (const char* server : {"a", "b", "c", "d", "e"}) {
    in_flight.push_back(tested.Admit("any", server));
  }
  for (const suspect_run& each : in_flight) {
    tested.book.OnServerEnd(each, kStart);
  }
  CHECK(tested.StateOf("any") == suspicion::kSuspected);
}

TEST_CASE("a run to a good end clears a request, whenever it began") {
  process tested;
  const suspect_run early = tested.Admit("any", "b");
  tested.EndUnder("any", "a");
  SECTION("after the end") {
    REQUIRE(tested.book.OnGoodEnd(tested.Admit("any", "b"), kStart));
  }
  SECTION("before the end") { REQUIRE(tested.book.OnGoodEnd(early, kStart)); }
  CHECK(tested.StateOf("any") == suspicion::kNone);
  tested.EndUnder("any", "c");
  CHECK(tested.StateOf("any") == suspicion::kSuspected);
}

TEST_CASE("an end that was cleared while a request ran does not count") {
  process tested;
  tested.EndUnder("any", "a");
  const suspect_run second = tested.Admit("any", "b");
  tested.book.OnGoodEnd(tested.Admit("any", "c"), kStart);
  tested.book.OnServerEnd(second, kStart);
  CHECK(tested.StateOf("any") == suspicion::kSuspected);
}

TEST_CASE("a request that had run well shortly before has one more end") {
  process tested;
  suspect_run run = tested.Admit("any", "a");
  run.had_run_well = true;
  tested.book.OnServerEnd(run, kStart);
  CHECK(tested.StateOf("any") == suspicion::kNone);
  run = tested.Admit("any", "b");
  run.had_run_well = true;
  tested.book.OnServerEnd(run, kStart);
  CHECK(tested.StateOf("any") == suspicion::kSuspected);
}

// Guards against an end that counts twice after a cut has healed.
TEST_CASE("what several processes know merges alike in any order, once") {
  process left;
  process right;
  left.EndUnder("bad", "a");
  right.EndUnder("bad", "b");
  process forwards;
  process backwards;
  for (int i = 0; i < 2; ++i) {
    forwards.MergeFrom(left);
    forwards.MergeFrom(right);
    backwards.MergeFrom(right);
    backwards.MergeFrom(left);
  }
  CHECK(forwards.book.Fingerprint() == backwards.book.Fingerprint());
  CHECK(forwards.book.Find(kService, IdentityOf("bad"))->ends.size() == 2);
  CHECK(forwards.StateOf("bad") == suspicion::kSuspected);
  left.MergeFrom(right);
  CHECK(left.book.Fingerprint() == forwards.book.Fingerprint());
}

TEST_CASE("a clearing that is learnt late is not undone by an older copy") {
  process left;
  process right;
  left.EndUnder("any", "a");
  right.MergeFrom(left);
  const process older = left;
  left.book.OnGoodEnd(left.Admit("any", "b"), kStart);
  right.MergeFrom(left);
  right.MergeFrom(older);
  CHECK(right.StateOf("any") == suspicion::kNone);
}

struct withheld_request : process {
  withheld_request() {
    for (const char* server : {"a", "b", "c"}) EndUnder("bad", server);
  }
};

TEST_CASE("a withheld request is tried again after an hour, then after two") {
  withheld_request tested;
  const auto first = kStart + hours(1);
  CHECK(tested.StateOf("bad", first - seconds(1)) == suspicion::kWithheld);
  CHECK(tested.StateOf("bad", first) == suspicion::kOnTrial);
  tested.EndUnder("bad", "d", first);
  CHECK(tested.StateOf("bad", first + hours(2) - seconds(1)) ==
        suspicion::kWithheld);
  CHECK(tested.StateOf("bad", first + hours(2)) == suspicion::kOnTrial);
  tested.book.OnGoodEnd(tested.Admit("bad", "e", first + hours(2)),
                        first + hours(2));
  CHECK(tested.StateOf("bad", first + hours(2)) == suspicion::kNone);
}

TEST_CASE("a new version of the service is tried once") {
  withheld_request tested;
  CHECK(tested.StateOf("bad", kStart, "v2") == suspicion::kOnTrial);
  SECTION("and runs it well") {
    tested.book.OnGoodEnd(tested.Admit("bad", "d", kStart, "v2"), kStart);
    CHECK(tested.StateOf("bad", kStart, "v2") == suspicion::kNone);
  }
  SECTION("and ends under it") {
    tested.EndUnder("bad", "d", kStart, "v2");
    CHECK(tested.StateOf("bad", kStart, "v2") == suspicion::kWithheld);
  }
  CHECK(tested.StateOf("bad") == suspicion::kWithheld);
}

TEST_CASE("an operator ends a decision everywhere, until it is made again") {
  withheld_request tested;
  process other;
  other.MergeFrom(tested);
  const process older = other;
  REQUIRE(tested.book.Lift(kService, "bad"));
  CHECK_FALSE(tested.book.Lift(kService, "bad"));
  other.MergeFrom(tested);
  other.MergeFrom(older);
  CHECK(other.StateOf("bad") == suspicion::kNone);
  for (const char* server : {"d", "e", "f"}) other.EndUnder("bad", server);
  tested.MergeFrom(other);
  CHECK(tested.StateOf("bad") == suspicion::kWithheld);
}

TEST_CASE("a decision outlives a restart that learns from a peer") {
  const withheld_request peer;
  process restarted;
  restarted.MergeFrom(peer, kStart + minutes(1));
  CHECK(restarted.StateOf("bad", kStart + minutes(1)) == suspicion::kWithheld);
}

TEST_CASE("memory is bounded, and what is withheld is forgotten last") {
  process tested;
  for (const char* server : {"a", "b", "c"}) tested.EndUnder("bad", server);
  for (int i = 0; i < 5000; ++i) {
    tested.EndUnder("other" + std::to_string(i), "d", kStart + milliseconds(i));
  }
  CHECK(tested.book.All().size() == crash_suspects_options{}.max_suspects);
  CHECK(tested.StateOf("bad") == suspicion::kWithheld);
  CHECK(tested.StateOf("other4999") == suspicion::kSuspected);
  for (int i = 0; i < 50; ++i) {
    tested.EndUnder("bad", "x" + std::to_string(i),
                    kStart + hours(1000 * (i + 1)));
  }
  CHECK(tested.book.Find(kService, IdentityOf("bad"))->ends.size() ==
        kMaxSuspectEnds);
}

TEST_CASE("what does not count any more is deleted") {
  withheld_request tested;
  tested.EndUnder("any", "a");
  tested.EndUnder("cleared", "a");
  tested.book.OnGoodEnd(tested.Admit("cleared", "b"), kStart);
  tested.book.Expire(kStart + seconds(30));
  CHECK(tested.book.All().size() == 3);
  tested.book.Expire(kStart + minutes(2));
  CHECK(tested.book.All().size() == 2);
  tested.book.Expire(kStart + hours(2));
  CHECK(tested.book.All().size() == 1);
  tested.book.Expire(kStart + hours(26));
  CHECK(tested.book.IsEmpty());
}

}  // namespace
}  // namespace fireflyspar::decisions
