// The settings of a command. Each setting has a flag, an environment variable
// and a default, in this order of precedence, and is validated before the
// command starts. All errors are reported together. The help and the operators'
// documentation come from the same table, so that they always match the
// program.
#ifndef FIREFLYSPAR_BASE_SETTINGS_H_
#define FIREFLYSPAR_BASE_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/address.h"
#include "base/result.h"

namespace fireflyspar::base {

enum class setting_kind {
  kText,
  kBool,          // "true" or "false"; the bare flag means "true".
  kNumber,        // An integer from `min_value` to `max_value`.
  kMilliseconds,  // Like kNumber; the help shows the unit.
  kAddress,       // A numeric IP address and a port.
  kAddresses,     // A comma-separated list of addresses; may be empty.
};

struct setting {
  // "rpc-address" stands for the flag --rpc-address and the environment
  // variable FIREFLYSPAR_RPC_ADDRESS.
  std::string_view name;
  setting_kind kind = setting_kind::kText;
  std::string_view default_text;
  std::string_view help;
  bool required = false;  // Whether an empty value is an error.
  std::int64_t min_value = 0;
  std::int64_t max_value = 1'000'000'000;
};

// Validated settings. Reading a name that is not in the table, or reading a
// setting as a kind that it does not have, is a programming error and throws
// std::logic_error.
class settings {
 public:
  const std::string& Text(std::string_view name) const;
  bool Bool(std::string_view name) const;
  std::int64_t Number(std::string_view name) const;
  std::chrono::milliseconds Milliseconds(std::string_view name) const;
  address Address(std::string_view name) const;
  std::vector<address> Addresses(std::string_view name) const;

  // Returns the positional arguments, such as file names and preset names.
  std::span<const std::string> Positional() const { return positional_; }

  // Returns a "name=value" line for each setting, in the order of the table.
  std::string ToText() const;

 private:
  friend struct settings_parser;
  const setting& Find(std::string_view name, setting_kind kind) const;

  std::vector<setting> table_;
  std::map<std::string, std::string, std::less<>> values_;
  std::vector<std::string> positional_;
};

// Returns the value of an environment variable, if it is set.
using environment_hook =
    std::function<std::optional<std::string>(const std::string& name)>;

// Returns a hook that reads the environment of this process.
environment_hook ProcessEnvironment();

// The settings, or the exit code if the command must not run: 0 after --help or
// --print-settings, and that of kBadSettings after all errors were printed to
// standard error.
struct command_line_result {
  std::optional<settings> parsed;
  int exit_code = 0;
};

struct command_line_options {
  std::string_view program;  // Program name, e.g. "fireflyspar node".
  std::string_view summary;
  std::string_view positional_help;  // E.g. "FILE"; empty: none are allowed.
  std::span<const setting> table;
  environment_hook environment = ProcessEnvironment();
};

// Parses and validates the flags and environment variables of `options.table`.
command_line_result ParseCommandLine(const command_line_options& options,
                                     std::span<const std::string> arguments);

// Returns the environment variable of a setting: "FIREFLYSPAR_RPC_ADDRESS" for
// "rpc-address".
std::string EnvironmentName(std::string_view setting_name);

}  // namespace fireflyspar::base

#endif  // FIREFLYSPAR_BASE_SETTINGS_H_
