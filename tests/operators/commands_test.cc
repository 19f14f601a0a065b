#include "operators/commands.h"

#include <array>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>

#include "base/error.h"
#include "config/preset_text.h"
#include "examples.h"
#include "fake_platform.h"
#include "operators/time_text.h"
#include "platform/object_formats.h"
#include "platform/status_report.h"

namespace fireflyspar::operators {
namespace {

using base::error_kind;
using nlohmann::json;

int ExitCodeOf(error_kind kind) { return base::ErrorInfoFor(kind).exit_code; }

// Runs the subcommands against a fake platform, with a clock that advances only
// while a command sleeps, and with files in memory.
class test_shell {
 public:
  fake_platform store;
  std::map<std::string, std::string> files;
  std::map<std::string, std::string> variables = {
      {"FIREFLYSPAR_PLATFORM_ADDRESS", "127.0.0.1:1"},
      {"FIREFLYSPAR_OPERATOR", "alice"}};
  std::function<void()> on_pause = [] {};
  std::vector<std::string> node_requests;

  int Run(const std::vector<std::string>& arguments) {
    out_.str("");
    progress_.str("");
    const auto commands = OperatorCommands(Dependencies());
    return base::RunCommand("fireflyspar", commands, arguments);
  }

  std::string Out() const { return out_.str(); }
  std::string Progress() const { return progress_.str(); }
  json OutJson() const { return json::parse(out_.str()); }
  base::instant Now() const { return now_; }

  void PutReport(const std::string& data_centre, std::uint64_t version,
                 int behind) {
    std::vector<platform::node_version> nodes = {
        {.node_id = data_centre + "-ahead", .version = version}};
    for (int i = 0; i < behind; ++i) {
      nodes.push_back({.node_id = data_centre + "-" + std::to_string(i),
                       .version = version - 1});
    }
    const std::string key = std::string(platform::kStatusPrefix) + data_centre;
    const auto report = platform::MakeStatusReport(data_centre, nodes, now_);
    store.objects[key] = {
        .key = key, .version = 1'000'000, .value = ToText(report)};
  }

 private:
  command_dependencies Dependencies() {
    return {
        .out = &out_,
        .progress = &progress_,
        .make_platform = [this](
                             const base::address&,
                             std::chrono::milliseconds) { return store.Api(); },
        .call_node =
            [this](const node_request& request) -> base::result<std::string> {
          node_requests.push_back(std::string(request.method) + " " +
                                  std::string(request.path));
          return std::string(R"({"node_id":"n1"})");
        },
        .read_file =
            [this](const std::string& path) -> base::result<std::string> {
          const auto found = files.find(path);
          if (found != files.end()) return found->second;
          return base::Fail(error_kind::kNotFound, path);
        },
        .environment =
            [this](const std::string& name) -> std::optional<std::string> {
          const auto found = variables.find(name);
          if (found == variables.end()) return {};
          return found->second;
        },
        .clock = [this] { return now_; },
        .random = base::SeededRandom(++seed_),
        .sleep =
            [this](std::chrono::milliseconds time) {
              now_ += time;
              on_pause();
            }};
  }

  std::ostringstream out_;
  std::ostringstream progress_;
  base::instant now_{std::chrono::seconds(1'700'000'000)};
  std::uint64_t seed_ = 0;
};

void PutBothPresets(test_shell& shell) {
  shell.files["o.json"] = ToText(SmallPreset("ordinary"));
  shell.files["p.json"] = ToText(SmallPreset("peak"));
  REQUIRE(shell.Run({"preset", "put", "o.json"}) == 0);
  REQUIRE(shell.Run({"preset", "put", "p.json"}) == 0);
}

TEST_CASE("the command line stores, lists, shows and chooses presets") {
  test_shell shell;
  PutBothPresets(shell);
  CHECK(shell.Run({"preset", "show"}) == ExitCodeOf(error_kind::kNotFound));
  REQUIRE(shell.Run({"preset", "use", "peak", "--json"}) == 0);
  CHECK(shell.OutJson()["version"] == 1);
  REQUIRE(shell.Run({"preset", "list", "--json"}) == 0);
  CHECK(shell.OutJson()["presets"][0]["in_force"] == false);
  CHECK(shell.OutJson()["presets"][1]["in_force"] == true);
  REQUIRE(shell.Run({"preset", "show"}) == 0);
  CHECK(std::get<config::preset>(config::ParsePreset(shell.Out())) ==
        SmallPreset("peak"));
  REQUIRE(shell.Run({"preset", "show", "ordinary", "--json"}) == 0);
  CHECK(shell.OutJson()["name"] == "ordinary");
  CHECK(shell.Run({"preset", "use", "gone"}) ==
        ExitCodeOf(error_kind::kNotFound));
}

TEST_CASE("all errors of an invalid preset are printed and it is not stored") {
  test_shell shell;
  config::preset bad = SmallPreset("ordinary");
  bad.services[0].versions[0].percent = 99;
  bad.routes[0].service = "gone";
  shell.files["bad.json"] = ToText(bad);
  for (const char* verb : {"check", "put"}) {
    CHECK(shell.Run({"preset", verb, "bad.json"}) ==
          ExitCodeOf(error_kind::kBadPreset));
    CHECK(shell.Progress().find("/routes/0/service: \"gone\"") !=
          std::string::npos);
    CHECK(shell.Run({"preset", verb, "bad.json", "--json"}) ==
          ExitCodeOf(error_kind::kBadPreset));
    CHECK(shell.OutJson()["faults"].size() == 2);
  }
  CHECK(shell.store.objects.empty());
  CHECK(shell.Run({"preset", "check", "no.json"}) ==
        ExitCodeOf(error_kind::kNotFound));
}

TEST_CASE(
    "use --wait ends when every node of all data centres has the version") {
  test_shell shell;
  PutBothPresets(shell);
  shell.PutReport("fukuoka", 1, 2);
  int pauses = 0;
  shell.on_pause = [&] {
    if (++pauses == 3) shell.PutReport("fukuoka", 1, 0);
  };
  REQUIRE(shell.Run({"preset", "use", "peak", "--wait", "--json"}) == 0);
  CHECK(shell.OutJson()["in_force_everywhere"] == true);
  CHECK(shell.Progress().find("waiting for fukuoka: 1 of 3 nodes") !=
        std::string::npos);
  CHECK(pauses == 3);

  // A later version that no data centre reports is not reported as in force.
  CHECK(shell.Run(
            {"preset", "use", "ordinary", "--wait", "--wait-timeout=2000"}) ==
        ExitCodeOf(error_kind::kTimedOut));
  CHECK(shell.Progress().find("version 2 is accepted, but not yet known") !=
        std::string::npos);
}

TEST_CASE("a move can be started, awaited and rolled back") {
  test_shell shell;
  PutBothPresets(shell);
  REQUIRE(shell.Run({"preset", "use", "ordinary"}) == 0);
  const std::vector<std::string> start = {
      "move",   "start", "--service", "equipment-history",
      "--from", "v1",    "--to=v2",   "--by",
      "+10m",   "--json"};
  REQUIRE(shell.Run(start) == 0);
  const std::string id = shell.OutJson()["move"];
  CHECK(shell.OutJson()["by"] ==
        FormatTime(shell.Now() + std::chrono::minutes(10)));
  CHECK(shell.Run(start) == ExitCodeOf(error_kind::kConflict));
  CHECK(shell.Run({"move", "wait", id, "--wait-timeout=1000"}) ==
        ExitCodeOf(error_kind::kTimedOut));

  const std::string key = std::string(platform::kMovePrefix) + id;
  shell.on_pause = [&] {
    auto value = *platform::ParseMove(shell.store.objects[key].value);
    value.state = decisions::move_state::kDone;
    value.is_final = true;
    shell.store.objects[key].value = platform::ToText(value);
  };
  REQUIRE(shell.Run({"move", "wait", id, "--json"}) == 0);
  CHECK(shell.OutJson()["state"] == "done");
  CHECK(shell.Run({"move", "take-back", id}) ==
        ExitCodeOf(error_kind::kConflict));

  shell.on_pause = [] {};
  REQUIRE(shell.Run(start) == 0);
  const std::string second = shell.OutJson()["move"];
  REQUIRE(shell.Run({"move", "take-back", second}) == 0);
  CHECK(shell.Run({"move", "wait", second}) ==
        ExitCodeOf(error_kind::kRolledBack));
  CHECK(shell.Out().find("taken back by hand by alice") != std::string::npos);
  REQUIRE(shell.Run({"move", "list", "--json"}) == 0);
  CHECK(shell.OutJson()["moves"].size() == 2);
  CHECK(shell.Run({"move", "show", "gone"}) ==
        ExitCodeOf(error_kind::kNotFound));
}

TEST_CASE("the audit trail lists operators, changes and outcomes") {
  test_shell shell;
  PutBothPresets(shell);
  REQUIRE(shell.Run({"preset", "use", "peak", "--operator", "bob"}) == 0);
  REQUIRE(shell.Run({"audit", "--json"}) == 0);
  const json entries = shell.OutJson()["entries"];
  REQUIRE(entries.size() == 3);
  CHECK(entries[0]["who"] == "alice");
  CHECK(entries[0]["action"] == "preset put");
  CHECK(entries[2]["who"] == "bob");
  CHECK(entries[2]["to"] == "version 1, preset 'peak'");
  CHECK(entries[2]["outcome"] == "accepted");
  shell.variables.erase("FIREFLYSPAR_OPERATOR");
  REQUIRE(shell.Run({"preset", "use", "ordinary"}) == 0);
  REQUIRE(shell.Run({"audit", "--json", "--limit=1"}) == 0);
  CHECK(shell.OutJson()["entries"][0]["who"] == "unknown");
}

TEST_CASE("status reads from the platform or one node; drain calls the node") {
  test_shell shell;
  PutBothPresets(shell);
  REQUIRE(shell.Run({"preset", "use", "peak"}) == 0);
  shell.PutReport("fukuoka", 1, 1);
  REQUIRE(shell.Run({"status", "--json"}) == 0);
  CHECK(shell.OutJson()["in_force"]["version"] == 1);
  CHECK(shell.OutJson()["data_centres"][0]["lagging"][0] == "fukuoka-0");
  REQUIRE(shell.Run({"status", "--node-address", "127.0.0.1:2", "--json"}) ==
          0);
  CHECK(shell.OutJson()["node_id"] == "n1");
  CHECK(shell.Run({"drain"}) == ExitCodeOf(error_kind::kBadSettings));
  REQUIRE(shell.Run({"drain", "--node-address=127.0.0.1:2"}) == 0);
  CHECK(shell.node_requests ==
        std::vector<std::string>{"GET /status", "POST /drain"});
  shell.variables.clear();
  CHECK(shell.Run({"status"}) == ExitCodeOf(error_kind::kBadSettings));
}

TEST_CASE("times are parsed strictly and formatted in UTC") {
  const base::instant now(std::chrono::seconds(1'700'000'000));
  CHECK(FormatTime(now) == "2023-11-14T22:13:20Z");
  CHECK(*ParseTime("2023-11-14T22:13:20Z", now) == now);
  CHECK(*ParseTime("+90s", now) == now + std::chrono::seconds(90));
  CHECK(*ParseTime("+15m", now) == now + std::chrono::minutes(15));
  CHECK(*ParseTime("+2h", now) == now + std::chrono::hours(2));
  for (const std::string_view bad : std::array<std::string_view, 10>{
           "", "+", "+s", "+-1s", "+1d", "90s", "2023-11-14 22:13:20Z",
           "2023-02-30T00:00:00Z", "2023-11-14T24:00:00Z",
           "2023-11-14T22:13:20+09:00"}) {
    INFO(bad);
    CHECK_FALSE(ParseTime(bad, now));
  }
}

}  // namespace
}  // namespace fireflyspar::operators
