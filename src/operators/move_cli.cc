#include "operators/move_cli.h"

#include <iostream>

#include "decisions/move_state_text.h"
#include "operators/move_commands.h"
#include "operators/time_text.h"

namespace fireflyspar::operators {
namespace {

using base::error_kind;
using decisions::move;
using decisions::move_state;
using nlohmann::ordered_json;

ordered_json ToJson(const move& value) {
  return {{"move", value.id},
          {"service", value.service},
          {"from", value.old_version},
          {"to", value.new_version},
          {"start", FormatTime(value.start)},
          {"by", FormatTime(value.complete_by)},
          {"operation_id", value.operation_id},
          {"state", decisions::ToText(value.state)},
          {"final", value.is_final},
          {"evidence", value.evidence},
          {"ready_data_centres", value.ready_data_centres}};
}

std::string Line(const move& value) {
  std::string text = value.id + ": " + value.service + " " + value.old_version +
                     " -> " + value.new_version + " by " +
                     FormatTime(value.complete_by) + ": " +
                     std::string(decisions::ToText(value.state));
  if (!value.is_final && value.state != move_state::kRunning) {
    text += ", not yet final";
  }
  for (const std::string& each : value.ready_data_centres) {
    text += (&each == &value.ready_data_centres.front() ? ", ready: " : ", ") +
            each;
  }
  if (!value.evidence.empty()) text += ": " + value.evidence;
  return text;
}

int Print(const invocation& call, const move& value) {
  if (call.JsonOutput()) {
    PrintJson(call, ToJson(value));
  } else {
    *call.deps.out << Line(value) << '\n';
  }
  return 0;
}

int PrintOr(const invocation& call, const base::result<move>& value) {
  return value ? Print(call, *value) : ReportFailure(call, value.Failure());
}

int Start(const invocation& call) {
  const context ctx = call.MakeContext();
  const base::instant now = ctx.clock();
  const auto start = ParseTime(call.settings.Text("start"), now);
  if (!start) return ReportFailure(call, start.Failure());
  const auto complete_by = ParseTime(call.settings.Text("by"), now);
  if (!complete_by) return ReportFailure(call, complete_by.Failure());
  return PrintOr(call,
                 StartMove(ctx, {.service = call.settings.Text("service"),
                                 .old_version = call.settings.Text("from"),
                                 .new_version = call.settings.Text("to"),
                                 .start = *start,
                                 .complete_by = *complete_by}));
}

int ListAll(const invocation& call) {
  const auto moves = ListMoves(call.MakeContext());
  if (!moves) return ReportFailure(call, moves.Failure());
  if (call.JsonOutput()) {
    ordered_json list = ordered_json::array();
    for (const move& each : *moves) list.push_back(ToJson(each));
    PrintJson(call, {{"moves", std::move(list)}});
    return 0;
  }
  for (const move& each : *moves) *call.deps.out << Line(each) << '\n';
  return 0;
}

int Show(const invocation& call) {
  return PrintOr(call, ShowMove(call.MakeContext(), call.positional));
}

int RollBack(const invocation& call) {
  return PrintOr(call, RollBackMove(call.MakeContext(), call.positional));
}

// Prints a final move and returns the exit code for its outcome, so that a
// script can branch on it.
int PrintOutcome(const invocation& call, const move& value) {
  Print(call, value);
  return value.state == move_state::kDone
             ? 0
             : base::ErrorInfoFor(error_kind::kRolledBack).exit_code;
}

int Wait(const invocation& call) {
  const context ctx = call.MakeContext();
  std::string last;
  const auto is_over = [&]() -> std::optional<int> {
    const auto value = ShowMove(ctx, call.positional);
    if (value && value->is_final) return PrintOutcome(call, *value);
    if (!value && value.Failure().Kind() == error_kind::kNotFound) {
      return ReportFailure(call, value.Failure());
    }
    const std::string now = value ? Line(*value) : value.Failure().detail;
    if (now != last) call.PrintProgress(now);
    last = now;
    return {};
  };
  return WaitUntil(call, is_over,
                   [&] { return "the move has no outcome yet: " + last; });
}

std::vector<base::setting> StartSettings() {
  return {{.name = "service",
           .help = "the service whose calls are to move",
           .required = true},
          {.name = "from", .help = "the old version", .required = true},
          {.name = "to", .help = "the new version", .required = true},
          {.name = "by",
           .help = "time by which all calls must have moved: UTC as in "
                   "2026-12-03T23:30:00Z, or relative to now as in +90s, "
                   "+15m, +2h",
           .required = true},
          {.name = "start",
           .default_text = "+0s",
           .help = "time at which calls begin to move, in the format of --by"}};
}

}  // namespace

std::vector<base::command> MoveCommands(const command_dependencies& deps) {
  const auto run = [deps](const command_spec& spec, command_body body) {
    return [deps, spec,
            body = std::move(body)](std::span<const std::string> arguments) {
      return RunWithSettings(deps, spec, arguments, body);
    };
  };
  return {
      {.name = "start",
       .summary = "start a move from an old version to a new one",
       .run = run({.program = "fireflyspar move start",
                   .summary = "Moves a service's calls from an old version to "
                              "a new one by a given time.",
                   .extra_settings = StartSettings()},
                  Start)},
      {.name = "list",
       .summary = "list the moves and their outcomes",
       .run = run({.program = "fireflyspar move list",
                   .summary = "Lists the moves and their outcomes."},
                  ListAll)},
      {.name = "show",
       .summary = "print one move",
       .run = run({.program = "fireflyspar move show",
                   .summary = "Prints the move with its evidence.",
                   .positional = "MOVE"},
                  Show)},
      {.name = "take-back",
       .summary = "roll a move back by hand",
       .run = run({.program = "fireflyspar move take-back",
                   .summary = "Rolls the move back by hand: all calls return "
                              "to the old version. Fails if the move is done.",
                   .positional = "MOVE"},
                  RollBack)},
      {.name = "wait",
       .summary = "wait until a move is done or taken back",
       .run = run({.program = "fireflyspar move wait",
                   .summary = "Waits until the move is done (exit code 0) or "
                              "taken back (exit code 9).",
                   .positional = "MOVE",
                   .extra_settings = WaitSettings()},
                  Wait)},
  };
}

}  // namespace fireflyspar::operators
