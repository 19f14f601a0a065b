#include "proxy/gate_suspects.h"

#include <chrono>
#include <utility>

#include "base/hash.h"
#include "proxy/identify_request.h"
#include "proxy/suspect_text.h"

namespace fireflyspar::proxy {
namespace {

using backend_servers::HeaderOf;
using backend_servers::http_request;
using base::event_priority;
using decisions::suspect;
using decisions::suspicion;
using steady = std::chrono::steady_clock;

// Of a body, for the hash of what ran well lately. That hash need not tell all
// bodies apart: one taken for another costs a level of one end.
constexpr std::size_t kHashedBodyBytes = 256;

// How long a server may go on with a request that was given up on, and how many
// of these are kept.
constexpr std::chrono::milliseconds kGivenUpMemory{2000};
constexpr std::size_t kMaxGivenUp = 32;

std::uint64_t QuickHash(const http_request& request, std::string_view caller) {
  const std::uint64_t head = HeadHash(request, caller);
  if (request.body().empty()) return head;
  const std::string_view body = request.body();
  return head ^ base::FastHash(body.substr(0, kHashedBodyBytes)) ^ body.size();
}

}  // namespace

std::string_view gate_suspects::CallerOf(const call_offer& offer,
                                         const http_request& request) const {
  return proxy::CallerOf(request, offer.is_nested_call, offer.caller_service,
                         options_.headers);
}

gate_suspects::known_request gate_suspects::Find(
    const call_offer& offer, const http_request& request) const {
  if (options_.suspects->IsEmpty()) return {};
  const std::string_view caller = CallerOf(offer, request);
  if (!options_.suspects->MayKnow(HeadHash(request, caller))) return {};
  known_request found{.identity = IdentifyRequest(request, caller)};
  found.known = options_.suspects->Find(offer.service, *found.identity);
  return found;
}

void gate_suspects::OnOffer(const call_offer& offer) {
  if (!offer.suspect || offer.is_local) return;
  options_.suspects->Merge(*offer.suspect, steady::now());
}

std::optional<gate_outcome> gate_suspects::Refuse(
    const call_offer& offer, const http_request& request) const {
  const known_request found = Find(offer, request);
  if (found.known == nullptr) return std::nullopt;
  const suspicion state =
      decisions::Judge(*found.known, offer.version, steady::now());
  const auto why =
      trials_.Evaluate(state, found.identity->digest, offer.is_trial);
  if (why == decisions::suspect_refusal::kNone) return std::nullopt;
  return ToRefusal(why, offer, request, *found.known);
}

gate_outcome gate_suspects::ToRefusal(decisions::suspect_refusal why,
                                      const call_offer& offer,
                                      const http_request& request,
                                      const suspect& known) const {
  gate_outcome refused =
      NotRun(base::error_kind::kShed, "servers ended under this request");
  refused.refusal = why;
  refused.suspect = known;
  refused.wait = offer.typical_duration;
  if (why != decisions::suspect_refusal::kWithheld) return refused;
  refused.wait = TimeLeft(known, steady::now());
  CountWithheld(*options_.metrics, "gate");
  LogWithheld(*options_.log, HeaderOf(request, options_.headers.request_id),
              known);
  return refused;
}

gate_suspects::running_request gate_suspects::Enter(
    const call_offer& offer, const http_request& request) {
  known_request found = Find(offer, request);
  if (found.known == nullptr) return {};
  running_request entered{.identity = std::move(found.identity)};
  entered.admission = decisions::crash_suspects::Admit(
      found.known, offer.version, steady::now());
  trials_.Enter(entered.admission.state, entered.identity->digest);
  return entered;
}

void gate_suspects::Leave(const running_request& entered) {
  trials_.Leave(entered.admission.state);
}

decisions::suspect_run gate_suspects::MakeRun(
    const running_request& entered, const call_offer& offer,
    const http_request& request, const decisions::server_info& server) const {
  return {
      .service = offer.service,
      .version = offer.version,
      .identity = entered.identity
                      ? *entered.identity
                      : IdentifyRequest(request, CallerOf(offer, request)),
      .admission = entered.admission,
      .server = {server.id, server.start_ms},
      .instance = options_.instance,
      .had_run_well = HadRunWell(QuickHash(request, CallerOf(offer, request)))};
}

suspect gate_suspects::OnServerEnd(const running_request& entered,
                                   const call_offer& offer,
                                   const http_request& request,
                                   const decisions::server_info& server) {
  const suspect& known = options_.suspects->OnServerEnd(
      MakeRun(entered, offer, request, server), steady::now());
  options_.log->Write(
      event_priority::kFailure, "ended_under",
      {{"id", std::string(HeaderOf(request, options_.headers.request_id))},
       {"identity", known.identity.digest},
       {"server", server.id},
       {"evidence", EvidenceText(known, steady::now())}});
  options_.on_change(known);
  return known;
}

void gate_suspects::OnGivenUp(const running_request& entered,
                              const call_offer& offer,
                              const http_request& request,
                              const decisions::server_info& server) {
  const auto now = steady::now();
  while (!given_up_.empty() && given_up_.front().at < now - kGivenUpMemory) {
    given_up_.pop_front();
  }
  if (given_up_.size() >= kMaxGivenUp) given_up_.pop_front();
  given_up_.push_back(
      {.run = MakeRun(entered, offer, request, server), .at = now});
}

void gate_suspects::OnEndFound(const decisions::server_info& server) {
  const auto now = steady::now();
  for (const given_up_request& each : std::exchange(given_up_, {})) {
    const bool may_have_run =
        each.at >= now - kGivenUpMemory &&
        each.run.server == decisions::server_start(server.id, server.start_ms);
    if (!may_have_run) continue;
    options_.on_change(options_.suspects->OnServerEnd(each.run, now));
  }
}

void gate_suspects::OnAnswer(const running_request& entered,
                             const call_offer& offer,
                             const http_request& request,
                             const decisions::server_info& server) {
  const std::uint64_t hash = QuickHash(request, CallerOf(offer, request));
  recently_well_[hash % kRecentlyWell] = hash;
  // Another copy of the request may have been let in before the end.
  const known_request found = Find(offer, request);
  if (found.known == nullptr) return;
  const suspect* const cleared =
      options_.suspects->OnGoodEnd({.service = offer.service,
                                    .version = offer.version,
                                    .identity = *found.identity,
                                    .admission = entered.admission,
                                    .server = {server.id, server.start_ms},
                                    .instance = options_.instance},
                                   steady::now());
  if (cleared != nullptr) options_.on_change(*cleared);
}

}  // namespace fireflyspar::proxy
