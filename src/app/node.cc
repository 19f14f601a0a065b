#include "app/node.h"

#include <atomic>
#include <map>
#include <span>
#include <thread>
#include <utility>

#include "app/connection_blocklist.h"
#include "app/move_control.h"
#include "app/node_settings.h"
#include "app/node_status.h"
#include "app/platform_jobs.h"
#include "backend_servers/announcement.h"
#include "backend_servers/gate.h"
#include "base/log.h"
#include "base/metrics.h"
#include "callers/call_path.h"
#include "nodes/mesh.h"
#include "operators/http_server.h"

namespace fireflyspar::app {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTickPeriod{250};

// Number of other nodes whose answers suffice for a new node to serve before
// join_wait has passed, without an answer of the platform: the greatest version
// among that many nodes is almost certainly the one in force.
constexpr int kMinRespondedPeers = 3;

}  // namespace

class node::state {
 public:
  explicit state(node_options options);
  base::status Start();
  bool Finish();

 private:
  nodes::mesh_options MeshOptions();
  callers::call_path_options CallPathOptions();
  platform_jobs_options PlatformOptions();
  operators::http_server_options OperatorsServerOptions();
  move_control_options MoveControlOptions();

  operators::handler_response OnAnnouncement(const std::string& body);
  void LogMoves(std::span<const decisions::move> moves);
  void OnView(const decisions::fleet_view_ptr& view);
  void RunTicks(const std::stop_token& stop);
  bool Join();

  node_options options_;
  base::clock_hook clock_ = base::SystemClock();
  base::random_hook random_ = base::SystemRandom();
  base::metrics metrics_;
  connection_blocklist blocklist_;
  std::atomic<bool> draining_ = false;

  move_control moves_;
  backend_servers::gate gate_;
  nodes::mesh mesh_;
  callers::call_path call_path_;
  platform_jobs platform_;
  operators::http_server operators_server_;
  std::jthread ticker_;
  // The configuration version and the moves' states that were logged last. Used
  // only on the mesh's thread.
  std::uint64_t logged_version_ = 0;
  std::map<std::string, std::string> logged_moves_;
};

node::state::state(node_options options)
    : options_(std::move(options)),
      moves_(MoveControlOptions()),
      gate_({.clock = clock_,
             .metrics = &metrics_,
             .on_change =
                 [this](const decisions::server_record& server) {
                   mesh_.SetServer(server);
                 }}),
      mesh_(MeshOptions()),
      call_path_(CallPathOptions()),
      platform_(PlatformOptions()),
      operators_server_(OperatorsServerOptions()) {}

nodes::mesh_options node::state::MeshOptions() {
  return {
      .node_id = options_.node_id,
      .data_centre = options_.data_centre,
      .region = options_.region,
      .rpc_address = options_.rpc_address,
      .gate_address = options_.gate_address,
      .seeds = options_.seeds,
      .clock = clock_,
      .random = random_,
      .metrics = &metrics_,
      .may_connect =
          [this](const base::address& peer) { return blocklist_.Allows(peer); },
      .on_change =
          [this](const decisions::fleet_view_ptr& view) { OnView(view); },
      .on_evidence =
          [this](const decisions::evidence_report& report) {
            moves_.Merge(report);
          },
  };
}

callers::call_path_options node::state::CallPathOptions() {
  return {
      .node_id = options_.node_id,
      .data_centre = options_.data_centre,
      .outside_address = options_.outside_address,
      .inside_address = options_.inside_address,
      .gate_address = options_.gate_address,
      .workers = options_.workers,
      .clock = clock_,
      .random = random_,
      .metrics = &metrics_,
      .gate = &gate_,
      .view = [this] { return mesh_.View(); },
      .moved_share =
          [this](const decisions::move& move) {
            return moves_.MovedShare(move);
          },
      .on_outcome =
          [this](const decisions::call_outcome& outcome) {
            moves_.Record(outcome);
          },
  };
}

platform_jobs_options node::state::PlatformOptions() {
  return {
      .data_centre = options_.data_centre,
      .platform_address = options_.platform_address,
      .clock = clock_,
      .random = random_,
      .metrics = &metrics_,
      .mesh = &mesh_,
      .may_connect =
          [this] { return blocklist_.Allows(options_.platform_address); },
  };
}

move_control_options node::state::MoveControlOptions() {
  move_control_options options{
      .tracker = {.node_id = options_.node_id,
                  .data_centre = options_.data_centre,
                  .incarnation = static_cast<std::uint64_t>(
                      clock_().time_since_epoch().count()),
                  .is_evaluator =
                      [this](const std::string& move_id) {
                        return mesh_.HasJob(nodes::EvaluatorJob(move_id),
                                            nodes::kEvaluatorsPerMove);
                      }},
      .clock = clock_,
      .send_report =
          [this](const decisions::evidence_report& report) {
            mesh_.SendEvidence(report);
          },
      .offer_move = [this](const decisions::move& move) { mesh_.Offer(move); },
      .write_outcome =
          [this](const decisions::move& move) {
            platform_.WriteRolledBack(move);
          },
      .write_ready =
          [this](const std::string& move_id) { platform_.WriteReady(move_id); },
  };
  return options;
}

operators::http_server_options node::state::OperatorsServerOptions() {
  operators::http_server_options options{
      .listen_address = options_.operators_address,
      .handlers = {
          {"GET", "/healthz",
           [](const std::string&) -> operators::handler_response {
             return {.content_type = "text/plain", .body = "ok\n"};
           }},
          {"GET", "/readyz",
           [this](const std::string&) -> operators::handler_response {
             if (mesh_.View()->configuration && !draining_) {
               return {.content_type = "text/plain", .body = "ready\n"};
             }
             return operators::ErrorResponse(
                 base::Fail(base::error_kind::kNotReady,
                            draining_ ? "draining" : "no configuration yet"));
           }},
          {"GET", "/metrics",
           [this](const std::string&) -> operators::handler_response {
             return {.content_type = "text/plain; version=0.0.4",
                     .body = metrics_.ToPrometheusText()};
           }},
          {"GET", "/status",
           [this](const std::string&) -> operators::handler_response {
             return {.body =
                         NodeStatusText({.node_id = options_.node_id,
                                         .data_centre = options_.data_centre,
                                         .is_draining = draining_},
                                        *mesh_.View())};
           }},
          {"POST", "/drain",
           [this](const std::string&) -> operators::handler_response {
             draining_ = true;
             gate_.Drain();
             base::LogInfo("draining", {{"node", options_.node_id}});
             return {.body = "{\"draining\":true}\n"};
           }},
          {"POST", "/announce",
           [this](const std::string& body) { return OnAnnouncement(body); }},
      }};
  if (options_.fault_injection) {
    options.handlers.push_back(
        {"POST", "/cut",
         [this](const std::string& body) -> operators::handler_response {
           const base::status set = blocklist_.Set(body);
           if (!set) return operators::ErrorResponse(set.Failure());
           base::LogWarning("cut", {{"addresses", body}});
           return {.body = "{}\n"};
         }});
  }
  return options;
}

operators::handler_response node::state::OnAnnouncement(
    const std::string& body) {
  const auto parsed = backend_servers::ParseAnnouncement(body);
  if (!parsed) return operators::ErrorResponse(parsed.Failure());
  const base::status accepted = gate_.OnAnnouncement(*parsed);
  if (!accepted) return operators::ErrorResponse(accepted.Failure());
  return {.body = "{}\n"};
}

void node::state::LogMoves(std::span<const decisions::move> moves) {
  for (const decisions::move& each : moves) {
    const std::string state = MoveStateText(each);
    std::string& logged = logged_moves_[each.id];
    if (logged == state) continue;
    logged = state;
    base::LogInfo(
        "move_changed",
        {{"move", each.id}, {"state", state}, {"evidence", each.evidence}});
  }
}

void node::state::OnView(const decisions::fleet_view_ptr& view) {
  moves_.SetView(*view);
  LogMoves(view->moves);
  if (!view->configuration) return;
  const config::version_id& id = view->configuration->id;
  if (id.version == logged_version_) return;
  logged_version_ = id.version;
  base::LogInfo("configuration_in_force",
                {{"version", std::to_string(id.version)},
                 {"preset", view->configuration->content.name},
                 {"hash", id.hash}});
}

void node::state::RunTicks(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    gate_.Tick();
    moves_.Tick();
    std::this_thread::sleep_for(kTickPeriod);
  }
}

// Waits for a configuration, for join_wait at most; returns false if the node
// still has none. A new node must not serve an outdated version when a newer
// one is available, so it waits until several nodes, or the platform, have
// answered. A node that can reach neither serves the newest version that it has
// received once join_wait has passed.
bool node::state::Join() {
  const base::instant limit = clock_() + options_.join_wait;
  constexpr milliseconds kPoll{20};
  constexpr milliseconds kPeersOnlyTime{500};
  const base::instant platform_fetch_time = clock_() + kPeersOnlyTime;
  bool has_asked_platform = false;
  while (clock_() < limit) {
    const bool has_configuration = mesh_.View()->configuration != nullptr;
    if (has_configuration && mesh_.RespondedPeers() >= kMinRespondedPeers) {
      return true;
    }
    if (!has_asked_platform && clock_() >= platform_fetch_time) {
      has_asked_platform = true;
      const auto time_left =
          std::chrono::duration_cast<milliseconds>(limit - clock_());
      if (platform_.FetchIntoMesh(time_left)) break;
    }
    std::this_thread::sleep_for(kPoll);
  }
  return mesh_.View()->configuration != nullptr;
}

base::status node::state::Start() {
  if (const auto started = mesh_.Start(); !started) return started;
  if (const auto started = operators_server_.Start(); !started) return started;
  platform_.Start();
  if (!Join()) {
    base::LogWarning("no_configuration_yet", {{"node", options_.node_id}});
  }
  if (const auto started = call_path_.Start(); !started) return started;
  ticker_ =
      std::jthread([this](const std::stop_token& stop) { RunTicks(stop); });
  base::LogInfo("node_started", {{"node", options_.node_id},
                                 {"data_centre", options_.data_centre}});
  return base::success{};
}

bool node::state::Finish() {
  base::LogInfo("node_leaving", {{"node", options_.node_id}});
  draining_ = true;
  gate_.Drain();
  mesh_.Leave();
  const bool finished = call_path_.Finish(options_.drain_limit);
  ticker_.request_stop();
  if (ticker_.joinable()) ticker_.join();
  platform_.Stop();
  operators_server_.Stop();
  base::LogInfo("node_left", {{"node", options_.node_id},
                              {"all_finished", finished ? "true" : "false"}});
  return finished;
}

node::node(node_options options)
    : state_(std::make_unique<state>(std::move(options))) {}

node::~node() = default;

base::status node::Start() { return state_->Start(); }

bool node::Finish() { return state_->Finish(); }

}  // namespace fireflyspar::app
