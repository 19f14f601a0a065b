#include "callers/claim_coordinator.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "backend_servers/exchange.h"
#include "backend_servers/headers.h"
#include "base/hash.h"

namespace fireflyspar::callers {
namespace {

using backend_servers::dispatch_result;
using backend_servers::http_request;
using backend_servers::http_response;
using backend_servers::MakeRefusedResult;
using base::error_kind;
using base::run_state;
using decisions::claim_verdict;
using decisions::member_record;
using decisions::request_id;

constexpr std::size_t kMaxStoredAnswerBytes = 65'536;
constexpr std::size_t kMaxStoredBytes = 16'777'216;

// Makes a refusal that leaves the outcome unknown, since an earlier attempt
// with the same id may have run.
dispatch_result MakeUnknownRunRefusal(error_kind kind, std::string detail) {
  dispatch_result refused = MakeRefusedResult(kind, std::move(detail));
  refused.run = run_state::kUnknown;
  return refused;
}

dispatch_result RefusalFor(claim_verdict verdict) {
  switch (verdict) {
    case claim_verdict::kTaken:
      return MakeUnknownRunRefusal(error_kind::kDuplicateRequest,
                                   "this request's id has been taken before");
    case claim_verdict::kTooOld:
      return MakeUnknownRunRefusal(error_kind::kRequestExpired,
                                   "this request's id is past its life");
    case claim_verdict::kFenced:
      return MakeUnknownRunRefusal(
          error_kind::kRequestExpired,
          "this request's id is older than its keeper's memory");
    case claim_verdict::kFromFuture:
      return MakeRefusedResult(error_kind::kBadRequest,
                               "this request's id is from the future");
    case claim_verdict::kFull:
      return MakeUnknownRunRefusal(error_kind::kClaimHolderUnavailable,
                                   "the keeper of this request's id is full");
    case claim_verdict::kGranted:
      break;
  }
  return MakeUnknownRunRefusal(error_kind::kInternal,
                               "no refusal for a granted claim");
}

// Returns a hash of the request that tells a repetition from a different
// request with the same id.
std::uint64_t Fingerprint(const http_request& request) {
  std::string text(request.method_string());
  text.append("\n").append(backend_servers::ToView(request.target()));
  text.append("\n");
  text.append(request.body());
  return base::FastHash(text);
}

const member_record* FindMember(const decisions::fleet_view& view,
                                const std::string& node_id) {
  const auto found =
      std::ranges::find(view.members, node_id, &member_record::node_id);
  return found == view.members.end() ? nullptr : &*found;
}

dispatch_result ClaimHoldersUnavailable() {
  return MakeUnknownRunRefusal(
      error_kind::kClaimHolderUnavailable,
      "the nodes that keep this request's id are not all there");
}

}  // namespace

claim_coordinator::claim_coordinator(const call_path_options& options,
                                     dispatcher& dispatch)
    : options_(options),
      dispatcher_(dispatch),
      started_(options.clock()),
      claimant_(options.node_id + "/" + std::to_string(options.random())),
      claims_(started_) {}

void claim_coordinator::Observe() {
  const decisions::fleet_view_ptr view = options_.view();
  if (!view || !view->configuration) return;
  const base::instant now = options_.clock();
  const std::lock_guard lock(mutex_);
  for (const std::string& name : view->configuration->content.data_centres) {
    const auto [selector, is_new] =
        claim_holders_.try_emplace(name, name, started_);
    selector->second.Observe(view->members, now);
  }
  EvictExpiredAnswers(now);
}

std::optional<decisions::claim_holders> claim_coordinator::FindClaimHolders(
    const std::string& data_centre, const request_id& id) {
  const base::instant now = options_.clock();
  const std::lock_guard lock(mutex_);
  const auto found = claim_holders_.find(data_centre);
  if (found == claim_holders_.end()) return std::nullopt;
  return found->second.FindClaimHolders(id, now);
}

net::awaitable<dispatch_result> claim_coordinator::Route(routed_call& call,
                                                         const request_id& id) {
  dispatch_result answer = ClaimHoldersUnavailable();
  const std::string home_data_centre = decisions::HomeDataCentre(
      id, call.view->configuration->content.data_centres);
  const auto holders = FindClaimHolders(home_data_centre, id);
  if (!holders) co_return answer;
  if (holders->home == options_.node_id) {
    answer = co_await RunAsHome(call, id);
    co_return answer;
  }
  const member_record* home = FindMember(*call.view, holders->home);
  if (home == nullptr) co_return answer;
  call.request.set(backend_servers::kHomeHeader, id.text);
  call.request.set(backend_servers::kRouteHeader, call.route);
  answer = co_await dispatcher_.SendToNode(call, home->gate_address);
  const bool node_answered = !answer.is_refusal || answer.from_gate;
  if (node_answered) co_return answer;
  // Even if this attempt sent nothing, an earlier one with the same id may have
  // run.
  if (answer.refusal != error_kind::kCancelled) {
    answer.refusal = answer.IsNotRun() ? error_kind::kClaimHolderUnavailable
                                       : error_kind::kOutcomeUnknown;
  }
  answer.run = run_state::kUnknown;
  co_return answer;
}

net::awaitable<dispatch_result> claim_coordinator::RunAsHome(
    routed_call& call, const request_id& id) {
  dispatch_result answer = ClaimHoldersUnavailable();
  const std::string home_data_centre = decisions::HomeDataCentre(
      id, call.view->configuration->content.data_centres);
  // The router's view may be out of date; this node's own view decides.
  if (home_data_centre != options_.data_centre) co_return answer;
  const auto holders = FindClaimHolders(home_data_centre, id);
  if (!holders || holders->home != options_.node_id) co_return answer;

  const std::uint64_t fingerprint = Fingerprint(call.request);
  claim_verdict verdict = claim_verdict::kGranted;
  {
    const base::instant now = options_.clock();
    const std::lock_guard lock(mutex_);
    verdict = claims_.ClaimAsHome(id, claimant_, now);
    if (verdict == claim_verdict::kGranted) {
      answers_[id.text] = {.fingerprint = fingerprint};
      answers_by_creation_.emplace(id.creation_time, id.text);
    }
  }
  if (verdict != claim_verdict::kGranted) {
    answer = verdict == claim_verdict::kTaken ? AnswerDuplicate(id, fingerprint)
                                              : RefusalFor(verdict);
    co_return answer;
  }
  answer = co_await RequestGuardClaim(call, id, holders->guard);
  if (answer.is_refusal) {
    // Nothing was dispatched, so the id may be claimed again, unless another
    // home holds it.
    if (answer.refusal != error_kind::kDuplicateRequest) Release(id);
    co_return answer;
  }
  // A process that is paused after it claimed the id must not run the request
  // once the claim holders have dropped the expired claim. The dispatcher
  // checks the deadline right before it sends.
  call.deadline = std::min(
      call.deadline, id.creation_time + decisions::claim_options().id_lifetime);
  answer = co_await dispatcher_.Dispatch(call);
  if (answer.IsNotRun()) {
    Release(id);
  } else if (!answer.is_refusal) {
    Store(id, answer.answer);
  }
  co_return answer;
}

net::awaitable<dispatch_result> claim_coordinator::RequestGuardClaim(
    const routed_call& call, const request_id& id, const std::string& guard) {
  dispatch_result answer = ClaimHoldersUnavailable();
  const member_record* member = FindMember(*call.view, guard);
  if (member == nullptr) co_return answer;
  routed_call guard_request{.view = call.view,
                            .service = call.service,
                            .deadline = call.deadline,
                            .assigned_worker = call.assigned_worker,
                            .cancel = call.cancel};
  guard_request.request.method(backend_servers::http::verb::post);
  guard_request.request.target("/");
  guard_request.request.set(backend_servers::kGuardHeader, claimant_);
  guard_request.request.set(backend_servers::kIdempotencyHeader, id.text);
  guard_request.request.prepare_payload();
  answer = co_await dispatcher_.SendToNode(guard_request, member->gate_address);
  const bool node_answered = !answer.is_refusal || answer.from_gate;
  if (!node_answered && answer.refusal != error_kind::kCancelled) {
    answer = ClaimHoldersUnavailable();
  }
  if (answer.is_refusal) answer.run = run_state::kUnknown;
  co_return answer;
}

dispatch_result claim_coordinator::HoldAsGuard(const request_id& id,
                                               std::string_view claimant) {
  const base::instant now = options_.clock();
  claim_verdict verdict = claim_verdict::kGranted;
  {
    const std::lock_guard lock(mutex_);
    verdict = claims_.ClaimAsGuard(id, claimant, now);
  }
  if (verdict != claim_verdict::kGranted) return RefusalFor(verdict);
  dispatch_result granted;
  granted.answer.result(backend_servers::http::status::ok);
  granted.answer.prepare_payload();
  return granted;
}

dispatch_result claim_coordinator::AnswerDuplicate(const request_id& id,
                                                   std::uint64_t fingerprint) {
  const std::lock_guard lock(mutex_);
  const auto found = answers_.find(id.text);
  const bool has_answer = found != answers_.end() &&
                          found->second.answer.has_value() &&
                          found->second.fingerprint == fingerprint;
  if (!has_answer) return RefusalFor(claim_verdict::kTaken);
  return {.answer = backend_servers::CopyWithoutRoom(*found->second.answer)};
}

void claim_coordinator::Store(const request_id& id,
                              const http_response& answer) {
  const std::size_t size = answer.body().size();
  const std::lock_guard lock(mutex_);
  const auto found = answers_.find(id.text);
  const bool fits =
      size <= kMaxStoredAnswerBytes && stored_bytes_ + size <= kMaxStoredBytes;
  if (found == answers_.end() || !fits) return;
  found->second.answer = backend_servers::CopyWithoutRoom(answer);
  stored_bytes_ += size;
}

void claim_coordinator::Release(const request_id& id) {
  const std::lock_guard lock(mutex_);
  claims_.Release(id, claimant_);
  answers_.erase(id.text);
  answers_by_creation_.erase({id.creation_time, id.text});
}

void claim_coordinator::EvictExpiredAnswers(base::instant now) {
  const base::duration id_lifetime = decisions::claim_options().id_lifetime;
  while (!answers_by_creation_.empty() &&
         now > answers_by_creation_.begin()->first + id_lifetime) {
    const auto found = answers_.find(answers_by_creation_.begin()->second);
    if (found != answers_.end()) {
      if (found->second.answer) {
        stored_bytes_ -= found->second.answer->body().size();
      }
      answers_.erase(found);
    }
    answers_by_creation_.erase(answers_by_creation_.begin());
  }
}

}  // namespace fireflyspar::callers
