#include "base/settings.h"

#include <array>
#include <catch2/catch.hpp>

namespace fireflyspar::base {
namespace {

constexpr std::array kTable = {
    setting{.name = "rpc-address",
            .kind = setting_kind::kAddress,
            .help = "where",
            .required = true},
    setting{.name = "workers",
            .kind = setting_kind::kNumber,
            .default_text = "2",
            .help = "threads",
            .min_value = 1,
            .max_value = 64},
};

command_line_result Read(
    const std::vector<std::string>& arguments,
    const std::map<std::string, std::string>& environment = {}) {
  const command_line_options options{
      .program = "test",
      .summary = "a test",
      .table = kTable,
      .environment = [&environment](const std::string& name)
          -> std::optional<std::string> {
        const auto found = environment.find(name);
        if (found == environment.end()) return {};
        return found->second;
      }};
  return ParseCommandLine(options, arguments);
}

TEST_CASE("a flag overrides a variable, and a variable overrides a default") {
  const auto both = Read({"--rpc-address=127.0.0.1:1", "--workers", "3"},
                         {{"FIREFLYSPAR_WORKERS", "4"}});
  REQUIRE(both.parsed);
  CHECK(both.parsed->Number("workers") == 3);

  const auto variable =
      Read({"--rpc-address=127.0.0.1:1"}, {{"FIREFLYSPAR_WORKERS", "4"}});
  REQUIRE(variable.parsed);
  CHECK(variable.parsed->Number("workers") == 4);

  const auto neither = Read({"--rpc-address=127.0.0.1:1"});
  REQUIRE(neither.parsed);
  CHECK(neither.parsed->Number("workers") == 2);
}

TEST_CASE("invalid settings make the command exit before it starts") {
  CHECK(Read({}).exit_code == 2);
  CHECK(Read({"--rpc-address=host:1"}).exit_code == 2);
  CHECK(Read({"--rpc-address=127.0.0.1:1", "--workers=65"}).exit_code == 2);
  CHECK(Read({"--rpc-address=127.0.0.1:1", "--nonsense"}).exit_code == 2);
  CHECK(Read({"--rpc-address=127.0.0.1:1", "stray"}).exit_code == 2);
}

TEST_CASE("reading an unknown name or the wrong kind throws") {
  const auto line = Read({"--rpc-address=127.0.0.1:1"});
  REQUIRE(line.parsed);
  CHECK_THROWS_AS(line.parsed->Text("nonsense"), std::logic_error);
  CHECK_THROWS_AS(line.parsed->Text("workers"), std::logic_error);
}

}  // namespace
}  // namespace fireflyspar::base
