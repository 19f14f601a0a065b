// Code that the operators' subcommands share: their common settings, their
// dependencies as hooks, and the mapping of a failure to a line of output and
// an exit code.
#ifndef FIREFLYSPAR_OPERATORS_COMMAND_LINE_H_
#define FIREFLYSPAR_OPERATORS_COMMAND_LINE_H_

#include <functional>
#include <initializer_list>
#include <iosfwd>
#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/settings.h"
#include "operators/context.h"
#include "operators/node_client.h"

namespace fireflyspar::operators {

// Dependencies of a subcommand, which tests replace. Results are written to
// `out`, progress and failures to `progress`, so that a script can read the
// results alone.
struct command_dependencies {
  std::ostream* out = nullptr;
  std::ostream* progress = nullptr;
  std::function<platform::object_api(const base::address& platform,
                                     std::chrono::milliseconds timeout)>
      make_platform;
  std::function<base::result<std::string>(const node_request&)> call_node;
  std::function<base::result<std::string>(const std::string& path)> read_file;
  base::environment_hook environment;
  base::clock_hook clock;
  base::random_hook random;
  sleep_hook sleep;
};

// Returns the dependencies of a real process: standard streams, HTTP, files,
// environment, system clock and random numbers.
command_dependencies ProcessDependencies();

// What a subcommand connects to. This decides which common settings it takes.
enum class command_target { kPlatform, kNode, kPlatformOrNode, kNothing };

struct command_spec {
  std::string_view program;  // Such as "fireflyspar preset put".
  std::string_view summary;
  std::string_view positional;  // Such as "FILE"; empty if none is taken.
  bool positional_is_required = true;
  command_target target = command_target::kPlatform;
  std::vector<base::setting>
      extra_settings;  // Settings beside the common ones.
};

// One run of a subcommand, with its settings checked. `positional` is empty
// only if the subcommand doesn't require it.
struct invocation {
  const command_dependencies& deps;
  const base::settings& settings;
  std::string positional;

  // Returns the context for commands at the platform.
  context MakeContext() const;
  bool JsonOutput() const { return settings.Bool("json"); }

  // Prints a line of progress.
  void PrintProgress(std::string_view line) const;
};

using command_body = std::function<int(const invocation&)>;

// Reads the settings, runs `body` and returns its exit code. If a setting is
// invalid, prints every problem and returns the exit code for bad settings.
int RunWithSettings(const command_dependencies& deps, const command_spec& spec,
                    std::span<const std::string> arguments,
                    const command_body& body);

// Prints the failure, as JSON if --json is set, and returns its exit code.
int ReportFailure(const invocation& call, const base::failure& failure);

// Prints a JSON value as one line.
void PrintJson(const invocation& call, const nlohmann::ordered_json& value);

// Returns the settings --wait-timeout and --poll-every for subcommands that
// wait.
std::vector<base::setting> WaitSettings();

// Calls `is_over` now and after each --poll-every until it returns an exit
// code. When --wait-timeout has passed, fails with kTimedOut and the text that
// `waiting_for` returns.
int WaitUntil(const invocation& call,
              const std::function<std::optional<int>()>& is_over,
              const std::function<std::string()>& waiting_for);

}  // namespace fireflyspar::operators

#endif  // FIREFLYSPAR_OPERATORS_COMMAND_LINE_H_
