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

constexpr duration kCrossDataCentreInterval = milliseconds(500);

// A node reports its configuration version to the holders of the status job as
// soon as it changes, and repeats the report at this interval in case a message
// or a holder was lost. With 500 nodes in a data centre a holder receives 100
// of these reports a second.
constexpr duration kVersionReportInterval = seconds(5);

// A node that no peer has answered yet tries kSeedsAtOnce of its seeds at a
// time, with exponential backoff. After that it tries one seed that is not
// among the living members every kReseedInterval, so that a partitioned fleet
// merges again.
constexpr duration kJoinFirstDelay = milliseconds(250);
constexpr duration kJoinMaxDelay = seconds(5);
constexpr duration kReseedInterval = seconds(10);
constexpr std::size_t kSeedsAtOnce = 3;

constexpr duration kPullFirstDelay = milliseconds(50);
constexpr duration kPullMaxDelay = seconds(2);
constexpr std::size_t kMaxConfigurationSources = 16;

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
      counters_(metrics),
      members_({.self = OwnRecord(options, bound), .random = options.random}),
      dissemination_({.random = options.random}, members_, configuration_),
      seeds_(options.seeds.begin(), options.seeds.end()),
      client_({.may_connect = options.may_connect}, io.provider->getNetwork(),
              timer_, counters_),
      server_(
          {.may_connect = options.may_connect,
           .answer =
               [this](const gossip& message) { return OnExchange(message); },
           .probe =
               [this](const base::address& target) {
                 return ProbeOnBehalf(target);
               },
           .fetch = [this](const std::string& hash) { return OnFetch(hash); },
           .report =
               [this](const decisions::evidence_report& report) {
                 if (options_.on_evidence) options_.on_evidence(report);
               }},
          timer_, counters_),
      tasks_(*this) {
  seeds_.erase(bound);
  client_.SetSender(bound);
  Publish();
}

void mesh_loop::Serve(kj::Own<kj::ConnectionReceiver> listener) {
  server_.Serve(std::move(listener));
  next_join_ = Now();
  tasks_.add(TickLoop());
  ProcessPendingWork();
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
  if (now >= next_cross_data_centre_compare_) CompareAcrossDataCentres(now);
  if (now >= next_version_report_) ReportVersion(now);
  client_.CloseIdle();
  RecordCpuTime();
  ProcessPendingWork();
}

void mesh_loop::Join(base::instant now) {
  const bool joined = !responded_peers_.empty();
  next_join_ =
      now + (joined ? kReseedInterval
                    : base::RetryDelay(joins_failed_++, kJoinFirstDelay,
                                       kJoinMaxDelay, options_.random()));
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

void mesh_loop::CompareAcrossDataCentres(base::instant now) {
  next_cross_data_centre_compare_ = now + kCrossDataCentreInterval;
  for (const auto& peer : dissemination_.BridgeTargets()) {
    StartExchange(peer.rpc_address);
  }
}

void mesh_loop::ReportVersion(base::instant now) {
  next_version_report_ = now + kVersionReportInterval;
  outputs_.on_version_reported(options_.node_id, configuration_.Version());
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

void mesh_loop::RecordCpuTime() {
  timespec cpu_time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &cpu_time);
  metrics_.Gauge("fireflyspar_mesh_cpu_microseconds") =
      cpu_time.tv_sec * 1'000'000 + cpu_time.tv_nsec / 1'000;
}

void mesh_loop::ProcessPendingWork() {
  dissemination_.ProcessMemberChanges(Now());
  SendProbes();
  if (dissemination_.HasUpdates()) SchedulePush();
  if (dissemination_.TakeChanged()) SchedulePublish();
}

void mesh_loop::SendProbes() {
  const decisions::membership_effects effects = members_.TakeEffects();
  for (const decisions::probe& target : effects.probes) {
    client_.Exchange(target.address, dissemination_.MakeExchange(),
                     [this, target](const std::optional<gossip>& answer) {
                       OnProbeResult(target, answer);
                     });
  }
  for (const auto& request : effects.indirect_probes) {
    ProbeIndirectly(request);
  }
}

void mesh_loop::OnProbeResult(const decisions::probe& target,
                              const std::optional<gossip>& answer) {
  members_.OnProbe(target.number, answer.has_value(), Now());
  if (answer) OnGossipAnswer(target.address, *answer, kComparisonSteps);
  ProcessPendingWork();
}

void mesh_loop::ProbeIndirectly(const decisions::indirect_probe& request) {
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
                    ProcessPendingWork();
                  });
  }
}

kj::Promise<bool> mesh_loop::ProbeOnBehalf(const base::address& target) {
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
    ProcessPendingWork();
  });
}

void mesh_loop::Push() {
  last_push_ = Now();
  const auto targets = dissemination_.PushTargets();
  const gossip message = dissemination_.MakePush();
  for (const auto& target : targets) {
    SendGossip(target.rpc_address, message, kComparisonSteps);
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
  view->configuration = configuration_.Current();
  for (const auto& [id, held] : members_.Members()) {
    if (!held.gossip_expired) view->members.push_back(held.record);
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
  gossip answer = dissemination_.HandleMessage(message, Now());
  NoteAdvertisedVersion(message);
  ProcessPendingWork();
  return answer;
}

void mesh_loop::StartExchange(const base::address& peer) {
  SendGossip(peer, dissemination_.MakeExchange(), kComparisonSteps);
}

void mesh_loop::SendGossip(const base::address& peer, const gossip& message,
                           int steps_left) {
  client_.Exchange(peer, message,
                   [this, peer, steps_left](std::optional<gossip> answer) {
                     if (!answer) return;
                     OnGossipAnswer(peer, *answer, steps_left);
                     ProcessPendingWork();
                   });
}

void mesh_loop::OnGossipAnswer(const base::address& peer, const gossip& answer,
                               int steps_left) {
  if (responded_peers_.size() < kMaxRespondedPeers &&
      responded_peers_.insert(answer.sender).second) {
    outputs_.set_responded_peers(static_cast<int>(responded_peers_.size()));
  }
  NoteAdvertisedVersion(answer);
  const std::optional<gossip> next = dissemination_.HandleReply(answer, Now());
  if (!answer.try_instead.empty()) {
    const base::address other =
        answer.try_instead[options_.random() % answer.try_instead.size()];
    After(RandomDelay(2, kJoinFirstDelay, kJoinMaxDelay),
          [this, other] { StartExchange(other); });
  }
  if (next && steps_left > 0) SendGossip(peer, *next, steps_left - 1);
}

void mesh_loop::NoteAdvertisedVersion(const gossip& message) {
  outputs_.on_version_reported(message.sender, message.configuration);
  if (message.configuration <= configuration_.Version()) return;
  if (configuration_sources_.size() < kMaxConfigurationSources ||
      configuration_sources_.contains(message.sender_address)) {
    configuration_sources_[message.sender_address] = message.configuration;
  }
  if (pulls_failed_ == 0) Pull();
}

void mesh_loop::Pull() {
  std::erase_if(configuration_sources_, [&](const auto& source) {
    return source.second <= configuration_.Version();
  });
  if (pulling_ || configuration_sources_.empty()) return;
  const auto best = std::ranges::max_element(
      configuration_sources_, {},
      [](const auto& source) { return source.second; });
  pulling_ = true;
  client_.Fetch(best->first, request_full_text_ ? "" : configuration_.Hash(),
                [this, peer = best->first](std::optional<fetch_answer> answer) {
                  pulling_ = false;
                  OnFetched(peer, std::move(answer));
                  ProcessPendingWork();
                });
}

void mesh_loop::RetryPull() {
  After(RandomDelay(pulls_failed_++, kPullFirstDelay, kPullMaxDelay),
        [this] { Pull(); });
}

void mesh_loop::OnFetched(const base::address& peer,
                          std::optional<fetch_answer> answer) {
  const auto version = configuration_sources_.extract(peer);
  if (answer) {
    if (const auto* message =
            std::get_if<decisions::configuration_message>(&*answer)) {
      OnConfiguration(peer, *message);
      return;
    }
    const auto* others = std::get_if<std::vector<base::address>>(&*answer);
    if (others != nullptr && !version.empty()) {
      for (const base::address& other : *others) {
        configuration_sources_.try_emplace(other, version.mapped());
      }
      configuration_sources_.try_emplace(peer, version.mapped());
    }
  }
  RetryPull();
}

void mesh_loop::OnConfiguration(
    const base::address& peer,
    const decisions::configuration_message& message) {
  const bool was_delta = message.change.has_value();
  const base::result<bool> adopted = configuration_.Apply(message);
  if (!adopted) {
    metrics_.Counter("fireflyspar_configuration_refused_total") += 1;
    base::LogWarning("configuration_refused",
                     {{"version", std::to_string(message.id.version)},
                      {"from", peer.ToText()},
                      {"why", adopted.Failure().detail}});
    request_full_text_ = was_delta;
    if (was_delta) configuration_sources_[peer] = message.id.version;
    RetryPull();
    return;
  }
  request_full_text_ = false;
  pulls_failed_ = 0;
  if (*adopted) OnConfigurationAdopted();
  Pull();
}

void mesh_loop::OnConfigurationAdopted() {
  dissemination_.ConfigurationChanged();
  ReportVersion(Now());
  SchedulePublish();
  ProcessPendingWork();
}

fetch_answer mesh_loop::OnFetch(const std::string& have_hash) {
  if (configuration_.Current() == nullptr) return {};
  decisions::configuration_message message =
      configuration_.MessageFor(have_hash);
  if (!message.change && !full_text_limiter_.Admit(Now())) {
    return dissemination_.Alternatives();
  }
  return message;
}

void mesh_loop::Offer(config::snapshot_ptr configuration) {
  if (configuration_.Offer(std::move(configuration))) OnConfigurationAdopted();
}

void mesh_loop::Offer(const decisions::move& move) {
  dissemination_.Offer(move, Now());
  ProcessPendingWork();
}

void mesh_loop::Forget(const std::string& move_id) {
  dissemination_.Forget(move_id, Now());
  ProcessPendingWork();
}

void mesh_loop::SetServer(const decisions::server_record& server) {
  members_.SetServer(server, Now());
  ProcessPendingWork();
}

void mesh_loop::SendEvidence(const decisions::evidence_report& report) {
  SendEvidenceTo(options_.data_centre, report);
  if (members_.Members().size() > options_.max_pooled_evidence_nodes) return;
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
  const std::string job = JobKey(EvaluatorJob(report.move_id), data_centre);
  for (const std::string& evaluator :
       decisions::ChooseByRendezvous(job, ids, kEvaluatorsPerMove)) {
    if (evaluator != options_.node_id) {
      client_.Report(members_.Find(evaluator)->record.rpc_address, report);
    } else if (options_.on_evidence) {
      options_.on_evidence(report);
    }
  }
}

void mesh_loop::AddSeeds(const std::vector<base::address>& seeds) {
  seeds_.insert(seeds.begin(), seeds.end());
  seeds_.erase(members_.Self().rpc_address);
  if (responded_peers_.empty()) next_join_ = Now();
}

void mesh_loop::Leave() {
  members_.Leave(Now());
  ProcessPendingWork();
}

kj::Duration mesh_loop::RandomDelay(int failures, duration first,
                                    duration max_delay) {
  return ToKj(base::RetryDelay(failures, first, max_delay, options_.random()));
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
