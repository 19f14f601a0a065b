// A command's settings: each has a flag, an environment variable and a default,
// in that order of precedence, and is checked before anything starts. All
// faults are reported together. The same table prints the help and feeds the
// operators' pages, so that they cannot drift from the program.
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
  kSwitch,        // "true" or "false"; the bare flag means "true".
  kNumber,        // A whole number from `least` to `most`.
  kMilliseconds,  // As kNumber; the help shows the unit.
  kAddress,       // An IP number and port.
  kAddresses,     // Several of them, separated by commas; may be empty.
};

struct setting {
  std::string_view name;  // "rpc-address": --rpc-address and, in the
                          // environment, FIREFLYSPAR_RPC_ADDRESS.
  setting_kind kind = setting_kind::kText;
  std::string_view default_text;
  std::string_view help;
  bool required = false;  // An empty text is then a fault.
  std::int64_t least = 0;
  std::int64_t most = 1'000'000'000;
};

// Settings in their checked form. Asking for a name that is not in the table,
// or for another kind than it has, is a bug of ours and throws
// std::logic_error.
class settings {
 public:
  const std::string& Text(std::string_view name) const;
  bool Switch(std::string_view name) const;
  std::int64_t Number(std::string_view name) const;
  std::chrono::milliseconds Milliseconds(std::string_view name) const;
  address Address(std::string_view name) const;
  std::vector<address> Addresses(std::string_view name) const;

  // What stands beside the flags: file names, preset names.
  std::span<const std::string> Positional() const { return positional_; }

  // "name=value" lines in the table's order.
  std::string ToText() const;

 private:
  friend struct settings_parser;
  const setting& Find(std::string_view name, setting_kind kind) const;

  std::vector<setting> table_;
  std::map<std::string, std::string, std::less<>> values_;
  std::vector<std::string> positional_;
};

// Gives the environment variable's value, if it is set.
using environment_hook =
    std::function<std::optional<std::string>(const std::string& name)>;

environment_hook ProcessEnvironment();

// Either the settings, or an exit code when the command should end here:
// 0 after --help or --print-settings, that of bad settings after printing every
// fault to standard error.
struct command_line {
  std::optional<settings> parsed;
  int exit_code = 0;
};

struct command_line_options {
  std::string_view program;  // "fireflyspar node".
  std::string_view summary;
  std::string_view positional_help;  // "FILE"; empty: none are taken.
  std::span<const setting> table;
  environment_hook environment = ProcessEnvironment();
};

command_line ReadCommandLine(const command_line_options& options,
                             std::span<const std::string> arguments);

// "FIREFLYSPAR_RPC_ADDRESS" for "rpc-address".
std::string EnvironmentName(std::string_view setting_name);

}  // namespace fireflyspar::base

#endif  // FIREFLYSPAR_BASE_SETTINGS_H_
