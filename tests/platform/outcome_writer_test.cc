#include "platform/outcome_writer.h"

#include <catch2/catch.hpp>
#include <string>

#include "platform_fixture.h"

namespace fireflyspar::platform {
namespace {

using decisions::move;
using decisions::move_state;
using std::chrono::milliseconds;

const std::vector<std::string> kBoth{"fukuoka", "kumamoto"};

move_finding Ready(const std::string& data_centre) {
  return {.move_id = "m",
          .evidence = "good at full share",
          .ready_data_centres = {data_centre},
          .required_data_centres = kBoth};
}

move_finding Fault(const std::string& evidence) {
  return {.move_id = "m", .rolled_back = true, .evidence = evidence};
}

struct writer_fixture : platform_fixture {
  value_recorder<move> written;

  writer_fixture() { StoreMove(RunningMove("m")); }

  std::unique_ptr<outcome_writer> Writer(object_api own_api) {
    auto writer = std::make_unique<outcome_writer>(outcome_writer_options{
        .api = std::move(own_api),
        .random = base::SeededRandom(1),
        .metrics = &metrics,
        .on_written = [this](const move& value) { written.Add(value); },
        .retry = {.first = milliseconds{1}, .most = milliseconds{20}}});
    writer->Start();
    return writer;
  }

  std::unique_ptr<outcome_writer> Writer() {
    return Writer(Client(milliseconds{10'000}));
  }

  bool WaitForFinal() {
    return written.WaitFor([](const move& each) { return each.is_final; });
  }
};

TEST_CASE("a move is done only when every data centre is ready") {
  move stored = Join(RunningMove("m"), Ready("kumamoto"));
  CHECK(stored.state == move_state::kRunning);
  CHECK_FALSE(stored.is_final);
  stored = Join(stored, Ready("fukuoka"));
  CHECK(stored.state == move_state::kDone);
  CHECK(stored.is_final);
  CHECK(stored.evidence == "good at full share");
}

TEST_CASE("a fault rolls a move back regardless of the ready data centres") {
  move stored = Join(RunningMove("m"), Ready("kumamoto"));
  stored = Join(stored, Fault("5 of 40 failed"));
  CHECK(stored.state == move_state::kRolledBack);
  CHECK(stored.is_final);
  CHECK(stored.evidence == "5 of 40 failed");
}

TEST_CASE("the first final outcome is kept") {
  move done = RunningMove("m");
  done.state = move_state::kDone;
  done.is_final = true;
  CHECK(Join(done, Fault("late")) == done);
  const move rolled_back = Join(RunningMove("m"), Fault("first"));
  CHECK(Join(rolled_back, Fault("second")) == rolled_back);
  CHECK(Join(rolled_back, Ready("fukuoka")) == rolled_back);
}

TEST_CASE("a finding without needed data centres never completes a move") {
  CHECK_FALSE(Join(RunningMove("m"), {.move_id = "m"}).is_final);
}

TEST_CASE("findings of two evaluators are merged at the platform") {
  writer_fixture f;
  const auto first = f.Writer();
  const auto second = f.Writer();
  first->Write(Ready("fukuoka"));
  second->Write(Ready("kumamoto"));
  REQUIRE(f.WaitForFinal());
  CHECK(f.StoredMove("m").state == move_state::kDone);
  CHECK(f.StoredMove("m").ready_data_centres == kBoth);
}

TEST_CASE("evaluators that race write one outcome, and all receive it") {
  for (int round = 0; round < 20; ++round) {
    writer_fixture f;
    {
      const auto first = f.Writer();
      const auto second = f.Writer();
      first->Write(Ready("kumamoto"));
      first->Write(Ready("fukuoka"));
      second->Write(Fault("5 of 40 failed"));
      REQUIRE(f.WaitForFinal());
    }
    const move stored = f.StoredMove("m");
    for (const move& reported : f.written.All()) {
      if (reported.is_final) CHECK(reported.state == stored.state);
    }
  }
}

TEST_CASE("an outcome whose answer is lost is not written a second time") {
  writer_fixture f;
  f.stand_in.SetFaults({.lose_answers = 1});
  const auto writes = f.stand_in.Stats().calls.at("put");
  const auto writer = f.Writer(f.Client(milliseconds{200}));
  writer->Write(Fault("5 of 40 failed"));
  REQUIRE(f.WaitForFinal());
  CHECK(f.stand_in.Stats().calls.at("put") == writes + 1);
  CHECK(f.StoredMove("m").state == move_state::kRolledBack);
}

TEST_CASE("a finding is written after an outage of the platform") {
  writer_fixture f;
  f.stand_in.SetFaults({.down = true});
  const auto writer = f.Writer();
  writer->Write(Fault("5 of 40 failed"));
  const auto& failures = f.metrics.Counter(
      "fireflyspar_platform_failures_total", "job=\"outcome_writer\"");
  while (failures.load() < 3) std::this_thread::yield();
  CHECK(f.written.All().empty());
  f.stand_in.SetFaults({});
  CHECK(f.WaitForFinal());
}

TEST_CASE("a finding about a move that was removed is dropped") {
  writer_fixture f;
  const auto writer = f.Writer();
  writer->Write({.move_id = "gone", .rolled_back = true});
  writer->Write(Fault("5 of 40 failed"));
  CHECK(f.WaitForFinal());
}

TEST_CASE("an outcome writer stops while the platform hangs") {
  writer_fixture f;
  f.stand_in.SetFaults({.hang = true});
  const auto writer = f.Writer(f.Client(milliseconds{3'600'000}));
  writer->Write(Fault("5 of 40 failed"));
  writer->Stop();
  SUCCEED();
}

}  // namespace
}  // namespace fireflyspar::platform
