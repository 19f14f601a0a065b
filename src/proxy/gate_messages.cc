#include "proxy/gate_messages.h"

#include <algorithm>
#include <array>

#include "proxy/header_words.h"
#include "proxy/suspect_headers.h"

namespace fireflyspar::proxy {
namespace {

using backend_servers::http_response;

// Failure rates and latency ratios are sent as whole thousandths.
constexpr double kThousand = 1000;

std::int64_t ToThousandths(double value) {
  return static_cast<std::int64_t>(value * kThousand);
}

// The kinds whose revisions each status holds. That of evacuations has a header
// of its own, which deployments without them do not send.
constexpr std::array kKindsInStatus = {shared_kind::kConfiguration,
                                       shared_kind::kRollouts};

void AddRevision(word_writer& words, const base::store_revision& revision) {
  words.Add(static_cast<std::int64_t>(revision.era));
  words.Add(static_cast<std::int64_t>(revision.number));
}

base::store_revision ReadRevision(word_reader& words) {
  base::store_revision revision;
  revision.era = static_cast<std::uint64_t>(words.Number());
  revision.number = static_cast<std::uint64_t>(words.Number());
  return revision;
}

base::store_revision& EvacuationsIn(gate_status& status) {
  return status.held[static_cast<std::size_t>(shared_kind::kEvacuations)];
}

// Writes the parts of a status that only some deployments have.
void WriteOptionalHeaders(gate_status status, http_response& message) {
  if (!EvacuationsIn(status).IsNone()) {
    word_writer words;
    AddRevision(words, EvacuationsIn(status));
    message.set(kEvacuationsHeader, std::move(words).Text());
  }
  if (status.load.cold_limit > 0) {
    message.set(kColdLimitHeader,
                std::to_string(ToThousandths(status.load.cold_limit)));
  }
}

// Reads what WriteOptionalHeaders wrote. A header that can't be read counts as
// missing.
void ReadOptionalHeaders(const http_response& message, gate_status& status) {
  using backend_servers::HeaderOf;
  word_reader evacuations(HeaderOf(message, kEvacuationsHeader));
  const base::store_revision revision = ReadRevision(evacuations);
  if (evacuations.Ok()) EvacuationsIn(status) = revision;
  word_reader limit(HeaderOf(message, kColdLimitHeader));
  const std::int64_t thousandths = limit.Number();
  if (limit.Ok() && thousandths > 0) {
    status.load.cold_limit = static_cast<double>(thousandths) / kThousand;
  }
}

// Stands for "no limit" where a limit is sent.
constexpr std::int64_t kNoLimit = -1;

void AddNotices(word_writer& words, const told_notices& told) {
  words.Add(told.server_id).Add(told.start_ms);
  const auto limit = told.said.requests_per_second;
  words.Add(limit ? ToThousandths(*limit) : kNoLimit);
  words.Add(told.said.is_leaving);
}

// Returns nothing if there are no more words.
std::optional<told_notices> ReadNotices(word_reader& words) {
  if (words.AtEnd()) return std::nullopt;
  told_notices told{.server_id = words.Word(), .start_ms = words.Number()};
  const std::int64_t limit = words.Number();
  if (limit >= 0) {
    told.said.requests_per_second = static_cast<double>(limit) / kThousand;
  }
  told.said.is_leaving = words.Number() != 0;
  return told;
}

constexpr std::array<std::pair<gate_outcome_kind, std::string_view>, 4>
    kOutcomeKindNames = {{
        {gate_outcome_kind::kAnswered, "answered"},
        {gate_outcome_kind::kNotRun, "not-run"},
        {gate_outcome_kind::kUnknown, "unknown"},
        {gate_outcome_kind::kCancelled, "cancelled"},
    }};

std::string_view OutcomeKindName(gate_outcome_kind end) {
  return std::ranges::find(kOutcomeKindNames, end,
                           &decltype(kOutcomeKindNames)::value_type::first)
      ->second;
}

gate_outcome_kind ParseOutcomeKind(std::string_view name) {
  const auto found =
      std::ranges::find(kOutcomeKindNames, name,
                        &decltype(kOutcomeKindNames)::value_type::second);
  return found == kOutcomeKindNames.end() ? gate_outcome_kind::kUnknown
                                          : found->first;
}

base::error_kind ParseErrorKind(std::string_view name) {
  const auto table = base::ErrorTable();
  const auto row = std::ranges::find(table, name, &base::error_info::name);
  return row == table.end() ? base::error_kind::kInternal : row->kind;
}

}  // namespace

std::string ToText(const call_offer& offer) {
  word_writer words;
  words.Add(offer.service).Add(offer.version).Add(offer.route);
  words.Add(offer.caller_service);
  words.Add(offer.is_idempotent).Add(offer.is_nested_call);
  words.Add(offer.priority)
      .Add(offer.wait_limit)
      .Add(offer.left)
      .Add(offer.time_to_objective);
  words.Add(offer.typical_duration);
  words.Add(static_cast<std::int64_t>(offer.body_bytes));
  if (offer.told) AddNotices(words, *offer.told);
  return std::move(words).Text();
}

std::optional<call_offer> ParseOffer(std::string_view text) {
  word_reader words(text);
  call_offer offer;
  offer.service = words.Word();
  offer.version = words.Word();
  offer.route = words.Word();
  offer.caller_service = words.Word();
  offer.is_idempotent = words.Number() != 0;
  offer.is_nested_call = words.Number() != 0;
  offer.priority = words.Integer();
  offer.wait_limit = words.Duration();
  offer.left = words.Duration();
  offer.time_to_objective = words.Duration();
  offer.typical_duration = words.Duration();
  if (!words.AtEnd()) {
    offer.body_bytes = static_cast<std::uint64_t>(words.Number());
  }
  offer.told = ReadNotices(words);
  if (!words.Ok()) return std::nullopt;
  return offer;
}

std::string ToText(const gate_status& status) {
  word_writer words;
  words.Add(status.load.running).Add(status.load.waiting);
  words.Add(status.load.slots).Add(ToThousandths(status.load.latency_ratio));
  words.Add(ToThousandths(status.load.failure_rate));
  words.Add(status.server_id).Add(status.version);
  words.Add(static_cast<std::int64_t>(status.counts.total));
  words.Add(static_cast<std::int64_t>(status.counts.failed));
  words.Add(static_cast<std::int64_t>(status.counts.slow));
  words.Add(status.took);
  words.Add(static_cast<std::int64_t>(status.load.bytes_per_second));
  words.Add(static_cast<std::int64_t>(status.load.body_backlog));
  for (const shared_kind each : kKindsInStatus) {
    AddRevision(words, status.held[static_cast<std::size_t>(each)]);
  }
  if (status.told) AddNotices(words, *status.told);
  return std::move(words).Text();
}

std::optional<gate_status> ParseStatus(std::string_view text) {
  word_reader words(text);
  gate_status status;
  status.load.running = words.Integer();
  status.load.waiting = words.Integer();
  status.load.slots = words.Integer();
  status.load.latency_ratio = static_cast<double>(words.Number()) / kThousand;
  status.load.failure_rate = static_cast<double>(words.Number()) / kThousand;
  status.server_id = words.Word();
  status.version = words.Word();
  status.counts.total = static_cast<std::uint64_t>(words.Number());
  status.counts.failed = static_cast<std::uint64_t>(words.Number());
  status.counts.slow = static_cast<std::uint64_t>(words.Number());
  status.took = words.Duration();
  if (!words.AtEnd()) {
    status.load.bytes_per_second = static_cast<double>(words.Number());
    status.load.body_backlog = static_cast<std::uint64_t>(words.Number());
  }
  for (const shared_kind each : kKindsInStatus) {
    if (words.AtEnd()) break;
    status.held[static_cast<std::size_t>(each)] = ReadRevision(words);
  }
  status.told = ReadNotices(words);
  if (!words.Ok()) return std::nullopt;
  if (status.told) {
    status.load.requests_per_second =
        status.told->said.requests_per_second.value_or(0);
  }
  return status;
}

bool IsServerError(const gate_outcome& outcome) {
  constexpr unsigned kGatewayTimeout = 504;
  const unsigned status = outcome.answer.result_int();
  return outcome.end == gate_outcome_kind::kAnswered &&
         status >= kFirstServerErrorStatus && status != kGatewayTimeout;
}

gate_outcome NotRun(base::error_kind reason, std::string detail) {
  return {.end = gate_outcome_kind::kNotRun,
          .reason = reason,
          .detail = std::move(detail)};
}

gate_outcome Unknown(base::error_kind reason, std::string detail) {
  return {.end = gate_outcome_kind::kUnknown,
          .reason = reason,
          .detail = std::move(detail)};
}

gate_outcome Cancelled() {
  return {.end = gate_outcome_kind::kCancelled,
          .reason = base::error_kind::kCancelled};
}

void EraseGateHeaders(http_response& message) {
  for (const char* each : {kOutcomeHeader, kStatusHeader, kSuspectHeader,
                           kEvacuationsHeader, kColdLimitHeader}) {
    message.erase(each);
  }
}

http_response ToMessage(gate_outcome outcome) {
  http_response message = std::move(outcome.answer);
  if (outcome.end != gate_outcome_kind::kAnswered) {
    message = backend_servers::MakeRefusal(outcome.reason, outcome.detail);
  }
  word_writer words;
  words.Add(OutcomeKindName(outcome.end));
  words.Add(base::ErrorInfoFor(outcome.reason).name).Add(outcome.wait);
  words.Add(outcome.refused_by_server);
  message.set(kOutcomeHeader, std::move(words).Text());
  if (outcome.status) {
    message.set(kStatusHeader, ToText(*outcome.status));
    WriteOptionalHeaders(*outcome.status, message);
  }
  WriteSuspect(outcome, message);
  return message;
}

gate_outcome FromMessage(http_response message) {
  using backend_servers::HeaderOf;
  gate_outcome outcome;
  outcome.status = ParseStatus(HeaderOf(message, kStatusHeader));
  word_reader words(HeaderOf(message, kOutcomeHeader));
  outcome.end = ParseOutcomeKind(words.Word());
  outcome.reason = ParseErrorKind(words.Word());
  outcome.wait = words.Duration();
  outcome.refused_by_server = words.Number() != 0;
  if (!words.Ok()) {
    return Unknown(base::error_kind::kMalformedMessage,
                   "the gate's answer tells no outcome");
  }
  if (outcome.status) ReadOptionalHeaders(message, *outcome.status);
  ReadSuspect(message, outcome);
  EraseGateHeaders(message);
  if (outcome.end == gate_outcome_kind::kAnswered) {
    outcome.answer = std::move(message);
  } else {
    outcome.detail = "said by the gate";
  }
  return outcome;
}

}  // namespace fireflyspar::proxy
