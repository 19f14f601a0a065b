#include "nodes/mesh_loop.h"

#include <algorithm>
#include <ctime>
#include <memory>
#include <tuple>
#include <utility>

#include "base/log.h"
#include "base/retry_delay.h"
#include "decisions/rendezvous.h"
#include "nodes/job_key.h"

namespace fireflyspar::nodes {
namespace {

using base::duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kTick = 100 * kj::MILLISECONDS;

// Minimum time between two pushes of one node. Changes that arrive in between
// are sent together.
constexpr duration kPushInterval = milliseconds(50);
constexpr duration kPublishInterval = milliseconds(20);

constexpr duration kCompareAcrossInterval = milliseconds(500);

// A node reports its configuration version to the holders of the status job as
// soon as it changes, and repeats the report at this interval in case a message
// or a holder was lost. With 500 nodes in a data centre a holder receives 100
// of these reports a second.
constexpr duration kTellVersionInterval = seconds(5);

// A node that no peer has answered yet tries kSeedsAtOnce of its seeds at a
// time, with exponential backoff. After that it tries one seed that is not
// among the living members every kReseedInterval, so that a partitioned fleet
// merges again.
constexpr duration kJoinFirstDelay = milliseconds(250);
constexpr duration kJoinMostDelay = seconds(5);
constexpr duration kReseedInterval = seconds(10);
constexpr std::size_t kSeedsAtOnce = 3;

constexpr duration kPullFirstDelay = milliseconds(50);
constexpr duration kPullMostDelay = seconds(2);
constexpr std::size_t kMaxTellers = 16;

// Maximum number of follow-up messages that a node sends in one comparison
// (digest, versions, records).
constexpr int kComparisonSteps = 4;

decisions::member_record OwnRecord(const mesh_options& options,
                                   const base::address& bound) {
  return {.node_id = options.node_id,
          .data_centre = options.data_centre,
          .region = options.region,
          .incarnation = static_cast<std::uint64_t>(
              options.clock().time_since_epoch().count()),
          .sequence = 1,
          .rpc_address = bound,
          .gate_address = options.gate_address};
}

kj::Duration ToKj(duration value) { return value.count() * kj::MICROSECONDS; }

}  // namespace

mesh_loop::mesh_loop(const mesh_options& options, base::metrics& metrics,
                     mesh_outputs outputs, kj::AsyncIoContext& io,
                     const base::address& bound)
    : options_(options),
      metrics_(metrics),
      outputs_(std::move(outputs)),
      timer_(io.provider->getTimer()),
      traffic_(metrics),
      members_({.self = OwnRecord(options, bound), .random = options.random}),
      dissemination_({.random = options.random}, members_, configuration_),
      seeds_(options.seeds.begin(), options.seeds.end()),
      client_({.may_connect = options.may_connect}, io.provider->getNetwork(),
              timer_, traffic_),
      server_(
          {.may_connect = options.may_connect,
           .answer =
               [this](const gossip& message) { return OnExchange(message); },
           .probe =
               [this](const base::address& target) { return ProbeFor(target); },
           .fetch = [this](const std::string& hash) { return OnFetch(hash); },
           .report =
               [this](const decisions::evidence_report& report) {
                 if (options_.on_evidence) options_.on_evidence(report);
               }},
          timer_, traffic_),
      tasks_(*this) {
  seeds_.erase(bound);
  client_.SetSender(bound);
  Publish();
}

void mesh_loop::Serve(kj::Own<kj::ConnectionReceiver> listener) {
  server_.Serve(std::move(listener));
  next_join_ = Now();
  tasks_.add(TickLoop());
  AfterEvent();
}

kj::Promise<void> mesh_loop::TickLoop() {
  return timer_.afterDelay(kTick)
      .then([this] { Tick(); })
      .catch_(
          [this](kj::Exception&& failure) { taskFailed(std::move(failure)); })
      .then([this] { return TickLoop(); });
}

void mesh_loop::Tick() {
  const base::instant now = Now();
  members_.Tick(now);
  if (now >= next_join_) Join(now);
  if (now >= next_compare_across_) CompareAcross(now);
  if (now >= next_tell_version_) TellVersion(now);
  client_.CloseIdle();
  CountLoad();
  AfterEvent();
}

void mesh_loop::Join(base::instant now) {
  const bool joined = !peers_heard_.empty();
  next_join_ =
      now + (joined ? kReseedInterval
                    : base::RetryDelay(joins_failed_++, kJoinFirstDelay,
                                       kJoinMostDelay, options_.random()));
  std::set<base::address> living;
  for (const auto& [id, held] : members_.Members()) {
    const auto& record = held.record;
    if (decisions::IsLiving(record)) living.insert(record.rpc_address);
  }
  std::vector<base::address> candidates;
  std::ranges::set_difference(seeds_, living, std::back_inserter(candidates));
  const std::size_t seed_count = joined ? 1 : kSeedsAtOnce;
  for (std::size_t i = 0; i < seed_count && !candidates.empty(); ++i) {
    const auto chosen =
        candidates.begin() +
        static_cast<std::ptrdiff_t>(options_.random() % candidates.size());
    StartExchange(*chosen);
    candidates.erase(chosen);
  }
}

void mesh_loop::CompareAcross(base::instant now) {
  next_compare_across_ = now + kCompareAcrossInterval;
  for (const auto& peer : dissemination_.BridgeTargets()) {
    StartExchange(peer.rpc_address);
  }
}

void mesh_loop::TellVersion(base::instant now) {
  next_tell_version_ = now + kTellVersionInterval;
  outputs_.note_version(options_.node_id, configuration_.Version());
  std::vector<std::string> ids{options_.node_id};
  for (const auto* peer : members_.LivingPeers(options_.data_centre)) {
    ids.push_back(peer->node_id);
  }
  const std::string job = JobKey(std::string(kStatusJob), options_.data_centre);
  const gossip message{.sender = options_.node_id,
                       .sender_address = members_.Self().rpc_address,
                       .configuration = configuration_.Version()};
  for (const std::string& holder :
       decisions::ChooseByRendezvous(job, ids, kStatusHolders)) {
    if (holder == options_.node_id) continue;
    client_.Exchange(members_.Find(holder)->record.rpc_address, message,
                     [](const std::optional<gossip>&) {});
  }
}

void mesh_loop::CountLoad() {
  timespec cpu_time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &cpu_time);
  metrics_.Gauge("fireflyspar_mesh_cpu_microseconds") =
      cpu_time.tv_sec * 1'000'000 + cpu_time.tv_nsec / 1'000;
}

void mesh_loop::AfterEvent() {
  dissemination_.Follow(Now());
  SendProbes();
  if (dissemination_.HasNews()) SchedulePush();
  if (dissemination_.TakeChanged()) SchedulePublish();
}

void mesh_loop::SendProbes() {
  const decisions::membership_effects effects = members_.TakeEffects();
  for (const decisions::probe& target : effects.probes) {
    client_.Exchange(target.address, dissemination_.MakeExchange(),
                     [this, target](const std::optional<gossip>& answer) {
                       OnProbed(target, answer);
                     });
  }
  for (const auto& request : effects.indirect_probes) {
    ProbeThroughOthers(request);
  }
}

void mesh_loop::OnProbed(const decisions::probe& target,
                         const std::optional<gossip>& answer) {
  members_.OnProbe(target.number, answer.has_value(), Now());
  if (answer) OnAnswer(target.address, *answer, kComparisonSteps);
  AfterEvent();
}

void mesh_loop::ProbeThroughOthers(const decisions::indirect_probe& request) {
  struct progress {
    std::size_t waiting;
    bool reached = false;
  };
  auto shared =
      std::make_shared<progress>(progress{.waiting = request.helpers.size()});
  for (const base::address& helper : request.helpers) {
    client_.Probe(helper, request.target.address,
                  [this, shared, number = request.target.number](bool reached) {
                    shared->reached = shared->reached || reached;
                    if (--shared->waiting > 0) return;
                    members_.OnIndirectProbe(number, shared->reached, Now());
                    AfterEvent();
                  });
  }
}

kj::Promise<bool> mesh_loop::ProbeFor(const base::address& target) {
  auto outcome = kj::newPromiseAndFulfiller<bool>();
  auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<bool>>>(
      std::move(outcome.fulfiller));
  // An empty push; only whether it is answered matters.
  client_.Exchange(target,
                   {.sender = options_.node_id,
                    .sender_address = members_.Self().rpc_address},
                   [fulfiller](const std::optional<gossip>& answer) {
                     (*fulfiller)->fulfill(answer.has_value());
                   });
  return std::move(outcome.promise);
}

void mesh_loop::SchedulePush() {
  if (push_scheduled_) return;
  push_scheduled_ = true;
  const duration elapsed = Now() - last_push_;
  const duration wait =
      std::clamp(kPushInterval - elapsed, duration{0}, kPushInterval);
  After(ToKj(wait), [this] {
    push_scheduled_ = false;
    Push();
    AfterEvent();
  });
}

void mesh_loop::Push() {
  last_push_ = Now();
  const auto targets = dissemination_.PushTargets();
  const gossip message = dissemination_.MakePush();
  for (const auto& target : targets) {
    Send(target.rpc_address, message, kComparisonSteps);
  }
}

void mesh_loop::SchedulePublish() {
  if (publish_scheduled_) return;
  const duration elapsed = Now() - last_publish_;
  if (elapsed >= kPublishInterval || elapsed < duration{0}) {
    Publish();
    return;
  }
  publish_scheduled_ = true;
  After(ToKj(kPublishInterval - elapsed), [this] {
    publish_scheduled_ = false;
    Publish();
  });
}

void mesh_loop::Publish() {
  last_publish_ = Now();
  auto view = std::make_shared<decisions::fleet_view>();
  view->configuration = configuration_.Held();
  for (const auto& [id, held] : members_.Members()) {
    if (!held.quiet) view->members.push_back(held.record);
  }
  for (const auto& [id, move] : dissemination_.Moves()) {
    view->moves.push_back(move);
  }
  std::ranges::sort(view->moves, {}, [](const decisions::move& move) {
    return std::tie(move.start, move.id);
  });
  const auto living = std::ranges::count_if(view->members, decisions::IsLiving);
  metrics_.Gauge("fireflyspar_members_living") = living;
  metrics_.Gauge("fireflyspar_configuration_version") =
      static_cast<std::int64_t>(configuration_.Version());
  outputs_.publish(std::move(view));
}

decisions::gossip mesh_loop::OnExchange(const gossip& message) {
  gossip answer = dissemination_.Answer(message, Now());
  Heard(message);
  AfterEvent();
  return answer;
}

void mesh_loop::StartExchange(const base::address& peer) {
  Send(peer, dissemination_.MakeExchange(), kComparisonSteps);
}

void mesh_loop::Send(const base::address& peer, const gossip& message,
                     int steps_left) {
  client_.Exchange(peer, message,
                   [this, peer, steps_left](std::optional<gossip> answer) {
                     if (!answer) return;
                     OnAnswer(peer, *answer, steps_left);
                     AfterEvent();
                   });
}

void mesh_loop::OnAnswer(const base::address& peer, const gossip& answer,
                         int steps_left) {
  if (peers_heard_.size() < kMostPeersHeard &&
      peers_heard_.insert(answer.sender).second) {
    outputs_.set_peers_heard(static_cast<int>(peers_heard_.size()));
  }
  Heard(answer);
  const std::optional<gossip> next = dissemination_.Continue(answer, Now());
  if (!answer.try_instead.empty()) {
    const base::address other =
        answer.try_instead[options_.random() % answer.try_instead.size()];
    After(Jitter(2, kJoinFirstDelay, kJoinMostDelay),
          [this, other] { StartExchange(other); });
  }
  if (next && steps_left > 0) Send(peer, *next, steps_left - 1);
}

void mesh_loop::Heard(const gossip& message) {
  outputs_.note_version(message.sender, message.configuration);
  if (message.configuration <= configuration_.Version()) return;
  if (tellers_.size() < kMaxTellers ||
      tellers_.contains(message.sender_address)) {
    tellers_[message.sender_address] = message.configuration;
  }
  if (pulls_failed_ == 0) Pull();
}

void mesh_loop::Pull() {
  std::erase_if(tellers_, [&](const auto& teller) {
    return teller.second <= configuration_.Version();
  });
  if (pulling_ || tellers_.empty()) return;
  const auto best = std::ranges::max_element(
      tellers_, {}, [](const auto& teller) { return teller.second; });
  pulling_ = true;
  client_.Fetch(best->first, ask_for_whole_ ? "" : configuration_.Hash(),
                [this, peer = best->first](std::optional<fetch_answer> answer) {
                  pulling_ = false;
                  OnFetched(peer, std::move(answer));
                  AfterEvent();
                });
}

void mesh_loop::RetryPull() {
  After(Jitter(pulls_failed_++, kPullFirstDelay, kPullMostDelay),
        [this] { Pull(); });
}

void mesh_loop::OnFetched(const base::address& peer,
                          std::optional<fetch_answer> answer) {
  const auto version = tellers_.extract(peer);
  if (answer) {
    if (const auto* message =
            std::get_if<decisions::configuration_message>(&*answer)) {
      OnConfiguration(peer, *message);
      return;
    }
    const auto* others = std::get_if<std::vector<base::address>>(&*answer);
    if (others != nullptr && !version.empty()) {
      for (const base::address& other : *others) {
        tellers_.try_emplace(other, version.mapped());
      }
      tellers_.try_emplace(peer, version.mapped());
    }
  }
  RetryPull();
}

void mesh_loop::OnConfiguration(
    const base::address& peer,
    const decisions::configuration_message& message) {
  const bool was_delta = message.change.has_value();
  const base::result<bool> adopted = configuration_.Take(message);
  if (!adopted) {
    metrics_.Counter("fireflyspar_configuration_refused_total") += 1;
    base::LogWarning("configuration_refused",
                     {{"version", std::to_string(message.id.version)},
                      {"from", peer.ToText()},
                      {"why", adopted.Failure().detail}});
    ask_for_whole_ = was_delta;
    if (was_delta) tellers_[peer] = message.id.version;
    RetryPull();
    return;
  }
  ask_for_whole_ = false;
  pulls_failed_ = 0;
  if (*adopted) OnTaken();
  Pull();
}

void mesh_loop::OnTaken() {
  dissemination_.ConfigurationChanged();
  TellVersion(Now());
  SchedulePublish();
  AfterEvent();
}

fetch_answer mesh_loop::OnFetch(const std::string& have_hash) {
  if (configuration_.Held() == nullptr) return {};
  decisions::configuration_message message =
      configuration_.MessageFor(have_hash);
  if (!message.change && !whole_texts_.Admit(Now())) {
    return dissemination_.Alternatives();
  }
  return message;
}

void mesh_loop::Offer(config::snapshot_ptr configuration) {
  if (configuration_.Offer(std::move(configuration))) OnTaken();
}

void mesh_loop::Offer(const decisions::move& move) {
  dissemination_.Offer(move, Now());
  AfterEvent();
}

void mesh_loop::Forget(const std::string& move_id) {
  dissemination_.Forget(move_id, Now());
  AfterEvent();
}

void mesh_loop::SetServer(const decisions::server_record& server) {
  members_.SetServer(server, Now());
  AfterEvent();
}

void mesh_loop::SendEvidence(const decisions::evidence_report& report) {
  SendEvidenceTo(options_.data_centre, report);
  if (members_.Members().size() > options_.most_pooled_nodes) return;
  for (const std::string& data_centre : members_.OtherDataCentres()) {
    SendEvidenceTo(data_centre, report);
  }
}

void mesh_loop::SendEvidenceTo(const std::string& data_centre,
                               const decisions::evidence_report& report) {
  std::vector<std::string> ids;
  if (data_centre == options_.data_centre) ids.push_back(options_.node_id);
  for (const auto* peer : members_.LivingPeers(data_centre)) {
    ids.push_back(peer->node_id);
  }
  const std::string job = JobKey(JudgeJob(report.move_id), data_centre);
  for (const std::string& judge :
       decisions::ChooseByRendezvous(job, ids, kJudges)) {
    if (judge != options_.node_id) {
      client_.Report(members_.Find(judge)->record.rpc_address, report);
    } else if (options_.on_evidence) {
      options_.on_evidence(report);
    }
  }
}

void mesh_loop::AddSeeds(const std::vector<base::address>& seeds) {
  seeds_.insert(seeds.begin(), seeds.end());
  seeds_.erase(members_.Self().rpc_address);
  if (peers_heard_.empty()) next_join_ = Now();
}

void mesh_loop::Leave() {
  members_.Leave(Now());
  AfterEvent();
}

kj::Duration mesh_loop::Jitter(int failures, duration first, duration most) {
  return ToKj(base::RetryDelay(failures, first, most, options_.random()));
}

void mesh_loop::After(kj::Duration delay, std::function<void()> action) {
  tasks_.add(timer_.afterDelay(delay).then(
      [action = std::move(action)] { action(); }));
}

void mesh_loop::taskFailed(kj::Exception&& failure) {
  metrics_.Counter("fireflyspar_mesh_task_failures_total") += 1;
  base::LogWarning("mesh_task_failed",
                   {{"why", failure.getDescription().cStr()}});
}

}  // namespace fireflyspar::nodes
