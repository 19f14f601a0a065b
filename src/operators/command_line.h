// What the operators' subcommands have in common: the settings that each takes,
// the outside world as hooks, and how a failure becomes a line and an exit
// code.
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

// The outside world of a subcommand. Results go to `out`; progress and failures
// to `progress`, so that a script reads only results.
struct command_world {
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

// The process's own: standard streams, HTTP, files, clock.
command_world ProcessWorld();

// What a subcommand needs besides its own settings.
enum class needs { kPlatform, kNode, kPlatformOrNode, kNothing };

struct command_spec {
  std::string_view program;  // "fireflyspar preset put".
  std::string_view summary;
  std::string_view positional;  // "FILE"; empty: none is taken.
  bool positional_is_required = true;
  needs needed = needs::kPlatform;
  std::vector<base::setting> own;
};

// A subcommand's run: its settings are checked, and `positional` is empty only
// where it may be left out.
struct invocation {
  const command_world& world;
  const base::settings& settings;
  std::string positional;

  context Context() const;
  bool Json() const { return settings.Switch("json"); }

  // Prints a line of progress.
  void Progress(std::string_view line) const;
};

using command_body = std::function<int(const invocation&)>;

// Reads the settings and runs the body, or prints every fault.
int RunWithSettings(const command_world& world, const command_spec& spec,
                    std::span<const std::string> arguments,
                    const command_body& body);

// Prints the failure, as JSON where it was asked for, and gives its exit code.
int Failed(const invocation& call, const base::failure& failure);

// Prints one JSON value as a line.
void PrintJson(const invocation& call, const nlohmann::ordered_json& value);

// "--wait-timeout" and "--poll-every", for subcommands that wait.
std::vector<base::setting> WaitSettings();

// Asks `is_over` now and after each pause, until it gives an exit code or the
// time to wait is up; `waiting_for` then tells for what.
int WaitUntil(const invocation& call,
              const std::function<std::optional<int>()>& is_over,
              const std::function<std::string()>& waiting_for);

}  // namespace fireflyspar::operators

#endif  // FIREFLYSPAR_OPERATORS_COMMAND_LINE_H_
