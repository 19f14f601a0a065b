#include "proxy/suspect_headers.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <string>
#include <utility>

#include "proxy/suspect_json.h"

namespace fireflyspar::proxy {
namespace {

using nlohmann::json;
using steady = std::chrono::steady_clock;

constexpr char kSuspectKey[] = "suspect";
constexpr char kTrialKey[] = "trial";
constexpr char kRefusalKey[] = "refusal";

// A longer header is not sent: the message would be refused for its length.
constexpr std::size_t kMaxHeaderBytes = 8192;

constexpr std::array<std::pair<decisions::suspect_refusal, std::string_view>, 5>
    kRefusalNames = {{
        {decisions::suspect_refusal::kNone, "none"},
        {decisions::suspect_refusal::kWithheld, "withheld"},
        {decisions::suspect_refusal::kRunsAlready, "runs_already"},
        {decisions::suspect_refusal::kOtherOnTrial, "other_on_trial"},
        {decisions::suspect_refusal::kNotTriedHere, "not_tried_here"},
    }};

std::string ToHeader(const json& said) {
  constexpr bool kAsciiOnly = true;
  return said.dump(-1, ' ', kAsciiOnly, json::error_handler_t::replace);
}

// Returns a value that is no object if the text can't be read.
json ParseHeader(std::string_view text) {
  if (text.empty() || text.size() > kMaxHeaderBytes) return nullptr;
  return json::parse(text, nullptr, false);
}

std::optional<decisions::suspect> FindSuspect(const json& said) {
  if (!said.is_object() || !said.contains(kSuspectKey)) return std::nullopt;
  return ParseSuspect(said[kSuspectKey], steady::now());
}

}  // namespace

void WriteSuspect(const call_offer& offer,
                  backend_servers::http_request& request) {
  if (!offer.suspect) return;
  const std::string text =
      ToHeader({{kSuspectKey, ToJson(*offer.suspect, steady::now())},
                {kTrialKey, offer.is_trial}});
  if (text.size() <= kMaxHeaderBytes) request.set(kSuspectHeader, text);
}

void WriteSuspect(const gate_outcome& outcome,
                  backend_servers::http_response& message) {
  const bool says_nothing =
      !outcome.suspect && outcome.refusal == decisions::suspect_refusal::kNone;
  if (says_nothing) return;
  const auto name =
      std::ranges::find(kRefusalNames, outcome.refusal,
                        &decltype(kRefusalNames)::value_type::first)
          ->second;
  json said = {{kRefusalKey, name}};
  if (outcome.suspect) {
    said[kSuspectKey] = ToJson(*outcome.suspect, steady::now());
  }
  const std::string text = ToHeader(said);
  if (text.size() <= kMaxHeaderBytes) message.set(kSuspectHeader, text);
}

void ReadSuspect(const backend_servers::http_request& request,
                 call_offer& offer) {
  const json said =
      ParseHeader(backend_servers::HeaderOf(request, kSuspectHeader));
  offer.suspect = FindSuspect(said);
  if (!offer.suspect) return;
  const auto trial = said.find(kTrialKey);
  offer.is_trial =
      trial != said.end() && trial->is_boolean() && trial->get<bool>();
}

void ReadSuspect(const backend_servers::http_response& message,
                 gate_outcome& outcome) {
  const json said =
      ParseHeader(backend_servers::HeaderOf(message, kSuspectHeader));
  if (!said.is_object()) return;
  outcome.suspect = FindSuspect(said);
  const auto refusal = said.find(kRefusalKey);
  if (refusal == said.end() || !refusal->is_string()) return;
  const auto known =
      std::ranges::find(kRefusalNames, refusal->get<std::string>(),
                        &decltype(kRefusalNames)::value_type::second);
  if (known != kRefusalNames.end()) outcome.refusal = known->first;
}

}  // namespace fireflyspar::proxy
