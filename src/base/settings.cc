#include "base/settings.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>
#include <sstream>
#include <stdexcept>

namespace fireflyspar::base {
namespace {

std::vector<std::string> SplitAtCommas(std::string_view text) {
  std::vector<std::string> parts;
  std::istringstream in{std::string(text)};
  for (std::string part; std::getline(in, part, ',');) {
    if (!part.empty()) parts.push_back(part);
  }
  return parts;
}

std::optional<std::int64_t> ReadNumber(std::string_view text) {
  std::int64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) return {};
  return number;
}

std::string CheckNumber(const setting& definition, std::string_view text) {
  const auto number = ReadNumber(text);
  if (number && *number >= definition.min_value &&
      *number <= definition.max_value) {
    return "";
  }
  return "expected an integer from " + std::to_string(definition.min_value) +
         " to " + std::to_string(definition.max_value);
}

std::string CheckAddresses(std::string_view text) {
  for (const std::string& part : SplitAtCommas(text)) {
    const auto parsed = ParseAddress(part);
    if (!parsed) return parsed.Failure().detail;
  }
  return "";
}

// Returns why the value is invalid, or the empty string if it is valid.
std::string Check(const setting& definition, std::string_view text) {
  if (text.empty()) return definition.required ? "a value is required" : "";
  switch (definition.kind) {
    case setting_kind::kText:
      return "";
    case setting_kind::kBool:
      return text == "true" || text == "false" ? "" : "expected true or false";
    case setting_kind::kNumber:
    case setting_kind::kMilliseconds:
      return CheckNumber(definition, text);
    case setting_kind::kAddress: {
      const auto parsed = ParseAddress(text);
      return parsed ? "" : parsed.Failure().detail;
    }
    case setting_kind::kAddresses:
      return CheckAddresses(text);
  }
  return "";
}

std::string_view FormatHint(setting_kind kind) {
  switch (kind) {
    case setting_kind::kMilliseconds:
      return " (milliseconds)";
    case setting_kind::kAddress:
      return " (IP:PORT)";
    case setting_kind::kAddresses:
      return " (IP:PORT,...)";
    default:
      return "";
  }
}

cxxopts::Options MakeOptions(const command_line_options& options) {
  cxxopts::Options parser{std::string(options.program),
                          std::string(options.summary)};
  parser.positional_help(std::string(options.positional_help));
  auto add = parser.add_options();
  for (const setting& each : options.table) {
    const std::string help = std::string(each.help) +
                             std::string(FormatHint(each.kind)) + " [" +
                             EnvironmentName(each.name) + "]";
    const std::string default_text(each.default_text);
    auto value = cxxopts::value<std::string>();
    if (!default_text.empty()) value->default_value(default_text);
    if (each.kind == setting_kind::kBool) value->implicit_value("true");
    add(std::string(each.name), help, value);
  }
  add("print-settings", "print the value of every setting and exit");
  add("help", "print this help and exit");
  add("positional", "", cxxopts::value<std::vector<std::string>>());
  parser.parse_positional({"positional"});
  return parser;
}

}  // namespace

// Parses the command line into a `settings` object. This is a struct so that it
// can be a friend of `settings` while cxxopts stays out of the header.
struct settings_parser {
  static command_line_result Read(const command_line_options& options,
                                  std::span<const std::string> arguments);

 private:
  static std::string ValueOf(const setting& each,
                             const cxxopts::ParseResult& flags,
                             const environment_hook& environment);
};

std::string settings_parser::ValueOf(const setting& each,
                                     const cxxopts::ParseResult& flags,
                                     const environment_hook& environment) {
  const std::string name(each.name);
  if (flags.count(name) > 0) return flags[name].as<std::string>();
  if (const auto value = environment(EnvironmentName(each.name))) return *value;
  return std::string(each.default_text);
}

command_line_result settings_parser::Read(
    const command_line_options& options,
    std::span<const std::string> arguments) {
  const int usage_exit_code = ErrorInfoFor(error_kind::kBadSettings).exit_code;
  cxxopts::Options parser = MakeOptions(options);

  std::vector<const char*> argv{options.program.data()};
  std::ranges::transform(arguments, std::back_inserter(argv),
                         [](const std::string& text) { return text.c_str(); });

  cxxopts::ParseResult flags;
  try {
    flags = parser.parse(static_cast<int>(argv.size()), argv.data());
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << options.program << ": " << error.what() << '\n';
    return {.exit_code = usage_exit_code};
  }
  if (flags.count("help") > 0) {
    std::cout << parser.help() << '\n';
    return {};
  }

  settings read;
  read.table_.assign(options.table.begin(), options.table.end());
  if (flags.count("positional") > 0) {
    read.positional_ = flags["positional"].as<std::vector<std::string>>();
  }
  std::vector<std::string> problems;
  if (options.positional_help.empty() && !read.positional_.empty()) {
    problems.push_back("unexpected argument '" + read.positional_.front() +
                       "'");
  }
  for (const setting& each : options.table) {
    std::string value = ValueOf(each, flags, options.environment);
    const std::string problem = Check(each, value);
    if (!problem.empty()) {
      problems.push_back("--" + std::string(each.name) + " '" + value +
                         "': " + problem);
    }
    read.values_.emplace(each.name, std::move(value));
  }
  if (!problems.empty()) {
    for (const std::string& problem : problems) {
      std::cerr << options.program << ": " << problem << '\n';
    }
    return {.exit_code = usage_exit_code};
  }
  if (flags.count("print-settings") > 0) {
    std::cout << read.ToText();
    return {};
  }
  return {.parsed = std::move(read)};
}

const setting& settings::Find(std::string_view name, setting_kind kind) const {
  const auto found = std::ranges::find(table_, name, &setting::name);
  if (found == table_.end() || found->kind != kind) {
    throw std::logic_error("no setting of that kind: " + std::string(name));
  }
  return *found;
}

const std::string& settings::Text(std::string_view name) const {
  Find(name, setting_kind::kText);
  return values_.find(name)->second;
}

bool settings::Bool(std::string_view name) const {
  Find(name, setting_kind::kBool);
  return values_.find(name)->second == "true";
}

std::int64_t settings::Number(std::string_view name) const {
  Find(name, setting_kind::kNumber);
  return ReadNumber(values_.find(name)->second).value_or(0);
}

std::chrono::milliseconds settings::Milliseconds(std::string_view name) const {
  Find(name, setting_kind::kMilliseconds);
  return std::chrono::milliseconds(
      ReadNumber(values_.find(name)->second).value_or(0));
}

address settings::Address(std::string_view name) const {
  Find(name, setting_kind::kAddress);
  const auto parsed = ParseAddress(values_.find(name)->second);
  return parsed ? *parsed : address{};
}

std::vector<address> settings::Addresses(std::string_view name) const {
  Find(name, setting_kind::kAddresses);
  std::vector<address> addresses;
  for (const std::string& part : SplitAtCommas(values_.find(name)->second)) {
    const auto parsed = ParseAddress(part);
    if (parsed) addresses.push_back(*parsed);
  }
  return addresses;
}

std::string settings::ToText() const {
  std::string text;
  for (const setting& each : table_) {
    text += std::string(each.name) + "=" + values_.find(each.name)->second;
    text += '\n';
  }
  return text;
}

environment_hook ProcessEnvironment() {
  return [](const std::string& name) -> std::optional<std::string> {
    const char* value = std::getenv(name.c_str());
    if (value == nullptr) return {};
    return std::string(value);
  };
}

command_line_result ParseCommandLine(const command_line_options& options,
                                     std::span<const std::string> arguments) {
  return settings_parser::Read(options, arguments);
}

std::string EnvironmentName(std::string_view setting_name) {
  std::string name = "FIREFLYSPAR_";
  std::ranges::transform(setting_name, std::back_inserter(name), [](char c) {
    return c == '-' ? '_' : static_cast<char>(std::toupper(c));
  });
  return name;
}

}  // namespace fireflyspar::base
