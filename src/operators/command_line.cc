#include "operators/command_line.h"

#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>
#include <thread>

#include "base/metrics.h"
#include "config/preset.h"
#include "platform/http_object_api.h"

namespace fireflyspar::operators {
namespace {

using base::error_kind;
using base::Fail;
using base::setting;
using base::setting_kind;
using std::chrono::milliseconds;

constexpr std::string_view kUnknownOperator = "unknown";

// Reads a file, or standard input if the path is "-". Stops one byte after the
// maximum size of a preset, so that the parser refuses a larger file.
base::result<std::string> ReadFile(const std::string& path) {
  std::ifstream file;
  if (path != "-") file.open(path, std::ios::binary);
  std::istream& in = path == "-" ? std::cin : file;
  std::string text(config::kMaxPresetBytes + 1, '\0');
  in.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (in.bad() || (path != "-" && !file.is_open())) {
    return Fail(error_kind::kNotFound, "can't read file '" + path + "'");
  }
  text.resize(static_cast<std::size_t>(in.gcount()));
  return text;
}

platform::object_api MakePlatform(const base::address& address,
                                  milliseconds timeout) {
  static base::metrics metrics;  // Required by the client; never exported.
  return platform::MakeHttpObjectApi(
      {.platform_address = address, .timeout = timeout, .metrics = &metrics});
}

void AddPlatformSettings(bool required, std::vector<setting>& table) {
  table.push_back({.name = "platform-address",
                   .kind = setting_kind::kAddress,
                   .help = "address of the platform's object API",
                   .required = required});
  table.push_back({.name = "platform-timeout",
                   .kind = setting_kind::kMilliseconds,
                   .default_text = "2000",
                   .help = "timeout of one call to the platform",
                   .min_value = 1,
                   .max_value = 600'000});
}

void AddNodeSettings(bool required, std::vector<setting>& table) {
  table.push_back({.name = "node-address",
                   .kind = setting_kind::kAddress,
                   .help = "address of the node's operators' port",
                   .required = required});
  table.push_back({.name = "node-timeout",
                   .kind = setting_kind::kMilliseconds,
                   .default_text = "2000",
                   .help = "timeout of one call to the node",
                   .min_value = 1,
                   .max_value = 600'000});
}

std::vector<setting> TableFor(const command_spec& spec) {
  std::vector<setting> table;
  if (spec.target == command_target::kPlatform ||
      spec.target == command_target::kPlatformOrNode) {
    AddPlatformSettings(spec.target == command_target::kPlatform, table);
    table.push_back({.name = "operator",
                     .help = "operator's name in the audit trail; \"unknown\" "
                             "if not given"});
  }
  if (spec.target == command_target::kNode ||
      spec.target == command_target::kPlatformOrNode) {
    AddNodeSettings(spec.target == command_target::kNode, table);
  }
  table.insert(table.end(), spec.extra_settings.begin(),
               spec.extra_settings.end());
  table.push_back({.name = "json",
                   .kind = setting_kind::kBool,
                   .default_text = "false",
                   .help = "print the result as one line of JSON"});
  return table;
}

int BadSettings(const command_dependencies& deps, std::string_view program,
                const std::string& problem) {
  *deps.progress << program << ": " << problem << '\n';
  return base::ErrorInfoFor(error_kind::kBadSettings).exit_code;
}

}  // namespace

command_dependencies ProcessDependencies() {
  return {
      .out = &std::cout,
      .progress = &std::cerr,
      .make_platform = MakePlatform,
      .call_node = CallNode,
      .read_file = ReadFile,
      .environment = base::ProcessEnvironment(),
      .clock = base::SystemClock(),
      .random = base::SystemRandom(),
      .sleep = [](milliseconds time) { std::this_thread::sleep_for(time); }};
}

context invocation::MakeContext() const {
  const std::string& who = settings.Text("operator");
  return {
      .platform = deps.make_platform(settings.Address("platform-address"),
                                     settings.Milliseconds("platform-timeout")),
      .who = who.empty() ? std::string(kUnknownOperator) : who,
      .clock = deps.clock,
      .random = deps.random,
      .sleep = deps.sleep};
}

void invocation::PrintProgress(std::string_view line) const {
  *deps.progress << line << std::endl;
}

int RunWithSettings(const command_dependencies& deps, const command_spec& spec,
                    std::span<const std::string> arguments,
                    const command_body& body) {
  const std::vector<setting> table = TableFor(spec);
  const base::command_line_result line =
      base::ParseCommandLine({.program = spec.program,
                              .summary = spec.summary,
                              .positional_help = spec.positional,
                              .table = table,
                              .environment = deps.environment},
                             arguments);
  if (!line.parsed) return line.exit_code;
  const auto positional = line.parsed->Positional();
  if (positional.size() > 1) {
    return BadSettings(deps, spec.program,
                       "'" + positional[1] + "' is not expected");
  }
  const bool required = !spec.positional.empty() && spec.positional_is_required;
  if (required && positional.empty()) {
    return BadSettings(deps, spec.program,
                       std::string(spec.positional) + " is required");
  }
  return body({.deps = deps,
               .settings = *line.parsed,
               .positional = positional.empty() ? "" : positional.front()});
}

int ReportFailure(const invocation& call, const base::failure& failure) {
  const base::error_info& answer = base::ErrorInfoFor(failure.Kind());
  if (call.JsonOutput()) {
    PrintJson(call, {{"error", answer.name}, {"detail", failure.detail}});
  } else {
    *call.deps.progress << answer.name << ": " << failure.detail << '\n';
  }
  return answer.exit_code;
}

void PrintJson(const invocation& call, const nlohmann::ordered_json& value) {
  *call.deps.out << value.dump(-1, ' ', false,
                               nlohmann::ordered_json::error_handler_t::replace)
                 << std::endl;
}

std::vector<base::setting> WaitSettings() {
  return {{.name = "wait-timeout",
           .kind = setting_kind::kMilliseconds,
           .default_text = "60000",
           .help = "maximum time to wait",
           .min_value = 0,
           .max_value = 86'400'000},
          {.name = "poll-every",
           .kind = setting_kind::kMilliseconds,
           .default_text = "500",
           .help = "pause between two polls",
           .min_value = 10,
           .max_value = 60'000}};
}

int WaitUntil(const invocation& call,
              const std::function<std::optional<int>()>& is_over,
              const std::function<std::string()>& waiting_for) {
  const base::instant end =
      call.deps.clock() + call.settings.Milliseconds("wait-timeout");
  while (true) {
    if (const auto exit_code = is_over()) return *exit_code;
    if (call.deps.clock() >= end) {
      return ReportFailure(call, Fail(error_kind::kTimedOut, waiting_for()));
    }
    call.deps.sleep(call.settings.Milliseconds("poll-every"));
  }
}

}  // namespace fireflyspar::operators
