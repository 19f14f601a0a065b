#include "operators/status_cli.h"

#include <chrono>
#include <iostream>

#include "operators/audit_trail.h"
#include "operators/fleet_status.h"
#include "operators/time_text.h"

namespace fireflyspar::operators {
namespace {

using nlohmann::ordered_json;
using platform::status_report;
using platform::version_count;

ordered_json ToJson(const fleet_status& status) {
  ordered_json list = ordered_json::array();
  for (const status_report& each : status.data_centres) {
    ordered_json versions = ordered_json::array();
    for (const version_count& count : each.versions) {
      versions.push_back({{"version", count.version}, {"nodes", count.nodes}});
    }
    list.push_back({{"data_centre", each.data_centre},
                    {"nodes", each.nodes},
                    {"versions", std::move(versions)},
                    {"lagging", each.lagging},
                    {"written_at", FormatTime(each.written_at)}});
  }
  ordered_json in_force = nullptr;
  if (status.in_force) {
    in_force = {{"version", status.in_force->id.version},
                {"preset", status.in_force->preset},
                {"hash", status.in_force->id.hash},
                {"operation_id", status.in_force->operation_id}};
  }
  return {{"in_force", std::move(in_force)}, {"data_centres", std::move(list)}};
}

void PrintReport(const invocation& call, const status_report& report) {
  const auto age = std::chrono::floor<std::chrono::seconds>(call.deps.clock() -
                                                            report.written_at);
  std::ostream& out = *call.deps.out;
  out << report.data_centre << ": " << report.nodes << " nodes";
  for (const version_count& each : report.versions) {
    out << ", " << each.nodes << " at version " << each.version;
  }
  out << ", reported " << age.count() << " s ago\n";
  for (const std::string& each : report.lagging) {
    out << "  lagging: " << each << '\n';
  }
}

int FleetStatus(const invocation& call) {
  const auto status = ReadFleetStatus(call.MakeContext());
  if (!status) return ReportFailure(call, status.Failure());
  if (call.JsonOutput()) {
    PrintJson(call, ToJson(*status));
    return 0;
  }
  if (status->in_force) {
    *call.deps.out << "in force: version " << status->in_force->id.version
                   << ", preset '" << status->in_force->preset << "'\n";
  } else {
    *call.deps.out << "in force: nothing\n";
  }
  for (const status_report& each : status->data_centres) {
    PrintReport(call, each);
  }
  return 0;
}

// Sends the request to the node and prints its response, which should be JSON.
int SendToNode(const invocation& call, std::string_view method,
               std::string_view path) {
  const auto answer = call.deps.call_node(
      {.method = method,
       .node = call.settings.Address("node-address"),
       .path = path,
       .timeout = call.settings.Milliseconds("node-timeout")});
  if (!answer) return ReportFailure(call, answer.Failure());
  constexpr int kIndent = 2;
  const auto body = ordered_json::parse(*answer, nullptr, false);
  if (body.is_discarded()) {
    *call.deps.out << *answer << '\n';
  } else if (call.JsonOutput()) {
    PrintJson(call, body);
  } else {
    *call.deps.out << body.dump(kIndent) << '\n';
  }
  return 0;
}

bool IsGiven(const invocation& call, std::string_view name) {
  return call.settings.Address(name).port != 0;
}

int Status(const invocation& call) {
  if (IsGiven(call, "node-address")) return SendToNode(call, "GET", "/status");
  if (IsGiven(call, "platform-address")) return FleetStatus(call);
  return ReportFailure(call,
                       base::Fail(base::error_kind::kBadSettings,
                                  "--platform-address or --node-address is "
                                  "required"));
}

int Drain(const invocation& call) { return SendToNode(call, "POST", "/drain"); }

ordered_json ToJson(const audit_entry& entry) {
  return {{"when", FormatTime(entry.when)},
          {"who", entry.who},
          {"operation_id", entry.operation_id},
          {"action", ToText(entry.action)},
          {"from", entry.from},
          {"to", entry.to},
          {"outcome", ToText(entry.outcome)},
          {"detail", entry.detail}};
}

void PrintEntry(std::ostream& out, const audit_entry& entry) {
  out << FormatTime(entry.when) << "  " << entry.who << "  "
      << ToText(entry.action) << "  " << ToText(entry.outcome) << "  from "
      << entry.from << "  to " << entry.to << "  operation "
      << entry.operation_id;
  if (!entry.detail.empty()) out << "  (" << entry.detail << ")";
  out << '\n';
}

int Audit(const invocation& call) {
  const auto limit = static_cast<std::size_t>(call.settings.Number("limit"));
  const auto entries = ReadTrail(call.MakeContext(), limit);
  if (!entries) return ReportFailure(call, entries.Failure());
  if (call.JsonOutput()) {
    ordered_json list = ordered_json::array();
    for (const audit_entry& each : *entries) list.push_back(ToJson(each));
    PrintJson(call, {{"entries", std::move(list)}});
    return 0;
  }
  for (const audit_entry& each : *entries) PrintEntry(*call.deps.out, each);
  return 0;
}

}  // namespace

std::vector<base::command> StatusCommands(const command_dependencies& deps) {
  const auto run = [deps](const command_spec& spec, command_body body) {
    return [deps, spec,
            body = std::move(body)](std::span<const std::string> arguments) {
      return RunWithSettings(deps, spec, arguments, body);
    };
  };
  const base::setting limit = {
      .name = "limit",
      .kind = base::setting_kind::kNumber,
      .default_text = "50",
      .help = "maximum number of latest entries to print",
      .min_value = 1,
      .max_value = 100'000};
  return {
      {.name = "status",
       .summary = "show which version is in force where and which nodes "
                  "lag",
       .run = run({.program = "fireflyspar status",
                   .summary = "Shows which version is in force where and which "
                              "nodes lag, as stored at the platform or, with "
                              "--node-address, as that node reports it.",
                   .target = command_target::kPlatformOrNode},
                  Status)},
      {.name = "drain",
       .summary = "drain a node and its backend server",
       .run = run({.program = "fireflyspar drain",
                   .summary = "Makes the node accept no new requests for the "
                              "backend server on its instance and finish "
                              "those in progress.",
                   .target = command_target::kNode},
                  Drain)},
      {.name = "audit",
       .summary = "print the audit trail of changes",
       .run = run({.program = "fireflyspar audit",
                   .summary = "Prints which operator requested which change, "
                              "when, and its outcome; the latest last.",
                   .extra_settings = {limit}},
                  Audit)},
  };
}

}  // namespace fireflyspar::operators
