#include "operators/preset_cli.h"

#include <algorithm>
#include <iostream>

#include "config/preset_text.h"
#include "operators/fleet_status.h"
#include "operators/preset_commands.h"

namespace fireflyspar::operators {
namespace {

using base::error_kind;
using nlohmann::ordered_json;

ordered_json ToJson(const config::validation_errors& errors) {
  ordered_json list = ordered_json::array();
  for (const config::validation_error& each : errors) {
    list.push_back({{"pointer", each.pointer},
                    {"value", each.value},
                    {"expected", each.expected}});
  }
  return {{"faults", std::move(list)}};
}

int PrintErrors(const invocation& call,
                const config::validation_errors& errors) {
  if (call.JsonOutput()) {
    PrintJson(call, ToJson(errors));
  } else {
    for (const config::validation_error& each : errors) {
      *call.deps.progress << call.positional << ": "
                          << (each.pointer.empty() ? "/" : each.pointer) << ": "
                          << each.value << ": expected " << each.expected
                          << '\n';
    }
  }
  return base::ErrorInfoFor(error_kind::kBadPreset).exit_code;
}

// Parses the preset in the file that the command line names and passes it to
// `use`, or prints all of its errors.
int WithPresetFile(const invocation& call,
                   const std::function<int(const config::preset&)>& use) {
  const auto text = call.deps.read_file(call.positional);
  if (!text) return ReportFailure(call, text.Failure());
  const auto parsed = config::ParsePreset(*text);
  if (const auto* errors = std::get_if<config::validation_errors>(&parsed)) {
    return PrintErrors(call, *errors);
  }
  return use(std::get<config::preset>(parsed));
}

int Check(const invocation& call) {
  return WithPresetFile(call, [&](const config::preset& value) {
    if (call.JsonOutput()) {
      PrintJson(call, ToJson(config::validation_errors{}));
    } else {
      *call.deps.out << "preset '" << value.name << "' is valid\n";
    }
    return 0;
  });
}

int Put(const invocation& call) {
  return WithPresetFile(call, [&](const config::preset& value) {
    const auto stored = PutPreset(call.MakeContext(), value);
    if (!stored) return ReportFailure(call, stored.Failure());
    if (call.JsonOutput()) {
      PrintJson(call, {{"preset", stored->name},
                       {"hash", stored->hash},
                       {"bytes", stored->bytes}});
    } else {
      *call.deps.out << "stored preset '" << stored->name << "', "
                     << stored->bytes << " bytes, hash " << stored->hash
                     << '\n';
    }
    return 0;
  });
}

int ListAll(const invocation& call) {
  const context ctx = call.MakeContext();
  const auto presets = ListPresets(ctx);
  if (!presets) return ReportFailure(call, presets.Failure());
  const auto current = ReadInForce(ctx);
  if (!current) return ReportFailure(call, current.Failure());
  const auto is_in_force = [&](const stored_preset& each) {
    return *current && (*current)->preset == each.name;
  };
  ordered_json list = ordered_json::array();
  for (const stored_preset& each : *presets) {
    list.push_back({{"preset", each.name},
                    {"hash", each.hash},
                    {"bytes", each.bytes},
                    {"in_force", is_in_force(each)}});
  }
  if (call.JsonOutput()) {
    PrintJson(call, {{"presets", std::move(list)}});
    return 0;
  }
  for (const stored_preset& each : *presets) {
    *call.deps.out << (is_in_force(each) ? "* " : "  ") << each.name << "  "
                   << each.bytes << " bytes  " << each.hash << '\n';
  }
  return 0;
}

int Show(const invocation& call) {
  const context ctx = call.MakeContext();
  const auto text = call.positional.empty() ? ShowInForce(ctx)
                                            : ShowPreset(ctx, call.positional);
  if (!text) return ReportFailure(call, text.Failure());
  if (call.JsonOutput()) {
    PrintJson(call, ordered_json::parse(*text, nullptr, false));
  } else {
    constexpr int kIndent = 2;
    *call.deps.out << ordered_json::parse(*text, nullptr, false).dump(kIndent)
                   << '\n';
  }
  return 0;
}

int Use(const invocation& call) {
  const context ctx = call.MakeContext();
  const auto chosen = UsePreset(ctx, call.positional);
  if (!chosen) return ReportFailure(call, chosen.Failure());
  const auto print = [&](bool everywhere) {
    if (call.JsonOutput()) {
      PrintJson(call, {{"version", chosen->id.version},
                       {"preset", chosen->preset},
                       {"hash", chosen->id.hash},
                       {"operation_id", chosen->operation_id},
                       {"in_force_everywhere", everywhere}});
    } else {
      *call.deps.out << "version " << chosen->id.version << ", preset '"
                     << chosen->preset << "', "
                     << (everywhere ? "is in force everywhere" : "is accepted")
                     << " (operation " << chosen->operation_id << ")\n";
    }
  };
  if (!call.settings.Bool("wait")) {
    print(false);
    return 0;
  }
  call.PrintProgress("version " + std::to_string(chosen->id.version) +
                     " is accepted; waiting until every node has it");
  const int exit_code = WaitForVersion(call, ctx, *chosen);
  if (exit_code == 0) print(true);
  return exit_code;
}

}  // namespace

std::vector<base::command> PresetCommands(const command_dependencies& deps) {
  const auto run = [deps](const command_spec& spec, command_body body) {
    return [deps, spec,
            body = std::move(body)](std::span<const std::string> arguments) {
      return RunWithSettings(deps, spec, arguments, body);
    };
  };
  std::vector<base::setting> use_settings = WaitSettings();
  use_settings.insert(use_settings.begin(),
                      {.name = "wait",
                       .kind = base::setting_kind::kBool,
                       .default_text = "false",
                       .help = "wait until every node has the version"});
  return {
      {.name = "put",
       .summary = "check a preset and store it under its name",
       .run = run({.program = "fireflyspar preset put",
                   .summary = "Checks the preset in FILE (-: standard input) "
                              "and stores it under its name.",
                   .positional = "FILE"},
                  Put)},
      {.name = "check",
       .summary = "print every error in a preset; store nothing",
       .run = run({.program = "fireflyspar preset check",
                   .summary = "Prints every error in the preset in FILE (-: "
                              "standard input) with its JSON pointer.",
                   .positional = "FILE",
                   .target = command_target::kNothing},
                  Check)},
      {.name = "list",
       .summary = "list the stored presets and mark the one in force",
       .run = run({.program = "fireflyspar preset list",
                   .summary = "Lists the stored presets; * marks the one in "
                              "force. Sizes are in bytes."},
                  ListAll)},
      {.name = "show",
       .summary = "print a preset, or the one in force",
       .run = run({.program = "fireflyspar preset show",
                   .summary = "Prints the stored preset, or, without NAME, "
                              "the content in force.",
                   .positional = "NAME",
                   .positional_is_required = false},
                  Show)},
      {.name = "use",
       .summary = "put a stored preset in force",
       .run = run({.program = "fireflyspar preset use",
                   .summary = "Puts the stored preset in force under the next "
                              "version.",
                   .positional = "NAME",
                   .extra_settings = use_settings},
                  Use)},
  };
}

}  // namespace fireflyspar::operators
