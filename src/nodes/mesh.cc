#include "nodes/mesh.h"

#include <kj/async-io.h>
#include <kj/exception.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <future>
#include <mutex>
#include <thread>
#include <utility>

#include "base/log.h"
#include "decisions/membership.h"
#include "decisions/rendezvous.h"
#include "nodes/job_key.h"
#include "nodes/mesh_loop.h"
#include "nodes/socket_address.h"

namespace fireflyspar::nodes {
namespace {

// Counts the RPC library's log lines instead of writing them, since broken
// connections are counted anyway. Disables the library's stack traces, for
// which it would start another process.
class rpc_exception_callback final : public kj::ExceptionCallback {
 public:
  explicit rpc_exception_callback(base::metrics& metrics)
      : messages_(metrics.Counter("fireflyspar_mesh_library_messages_total")) {}

  void logMessage(kj::LogSeverity, const char*, int, int,
                  kj::String&&) override {
    messages_ += 1;
  }
  StackTraceMode stackTraceMode() override { return StackTraceMode::NONE; }

 private:
  base::counter& messages_;
};

}  // namespace

// All nodes hash this name to choose the evaluators. Nodes with different
// prefixes would choose different ones.
std::string EvaluatorJob(const std::string& move_id) {
  return "judge " + move_id;
}

// Owns the mesh's thread and the state that it shares with the other threads.
// queue_mutex_ and view_mutex_ are never held together.
class mesh::state {
 public:
  explicit state(mesh_options options)
      : options_(std::move(options)),
        metrics_(options_.metrics != nullptr ? *options_.metrics
                                             : own_metrics_),
        wake_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)),
        view_(std::make_shared<decisions::fleet_view>()) {}

  ~state() {
    if (thread_.joinable()) {
      Post({});
      thread_.join();
    }
    close(wake_);
  }

  state(const state&) = delete;
  state& operator=(const state&) = delete;

  base::status Start() {
    std::promise<base::status> started;
    auto outcome = started.get_future();
    thread_ = std::thread([this, &started] { Run(started); });
    return outcome.get();
  }

  // Runs the task on the mesh's thread. An empty task ends that thread.
  void Post(std::function<void(mesh_loop&)> task) {
    {
      const std::lock_guard lock(queue_mutex_);
      queue_.push_back(std::move(task));
    }
    const std::uint64_t one = 1;
    // Fails only when the eventfd's counter is at its maximum, and then a
    // wake-up is pending anyway.
    [[maybe_unused]] const auto written = write(wake_, &one, sizeof(one));
  }

  decisions::fleet_view_ptr View() const {
    const std::lock_guard lock(view_mutex_);
    return view_;
  }

  std::map<std::string, std::uint64_t> ReportedVersions() const {
    const std::lock_guard lock(view_mutex_);
    return reported_versions_;
  }

  const mesh_options& Options() const { return options_; }
  base::address Bound() const { return bound_; }
  int RespondedPeers() const { return responded_peers_.load(); }

 private:
  void Run(std::promise<base::status>& started) {
    rpc_exception_callback exception_callback(metrics_);
    bool start_reported = false;
    try {
      auto io = kj::setupAsyncIo();
      auto listener =
          ToNetworkAddress(io.provider->getNetwork(), options_.rpc_address)
              ->listen();
      bound_ = {.ip = options_.rpc_address.ip,
                .port = static_cast<std::uint16_t>(listener->getPort())};
      mesh_loop loop(options_, metrics_, Outputs(), io, bound_);
      loop.Serve(std::move(listener));
      start_reported = true;
      started.set_value(base::success{});
      RunTasks(loop, io);
    } catch (const kj::Exception& failure) {
      const std::string why = failure.getDescription().cStr();
      if (start_reported) {
        base::Log(base::log_level::kError, "mesh_failed", {{"why", why}});
      } else {
        started.set_value(base::Fail(
            base::error_kind::kBadSettings,
            "cannot listen on " + options_.rpc_address.ToText() + ": " + why));
      }
    }
  }

  void RunTasks(mesh_loop& loop, kj::AsyncIoContext& io) {
    auto wake = io.lowLevelProvider->wrapInputFd(
        wake_, kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC |
                   kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK);
    for (;;) {
      std::uint64_t wakes = 0;
      wake->read(&wakes, sizeof(wakes)).wait(io.waitScope);
      for (const auto& task : TakeQueue()) {
        if (!task) return;
        RunTask(loop, task);
      }
    }
  }

  void RunTask(mesh_loop& loop, const std::function<void(mesh_loop&)>& task) {
    try {
      task(loop);
    } catch (const kj::Exception& failure) {
      metrics_.Counter("fireflyspar_mesh_task_failures_total") += 1;
      base::LogWarning("mesh_task_failed",
                       {{"why", failure.getDescription().cStr()}});
    }
  }

  std::vector<std::function<void(mesh_loop&)>> TakeQueue() {
    const std::lock_guard lock(queue_mutex_);
    return std::exchange(queue_, {});
  }

  mesh_outputs Outputs() {
    return {
        .publish =
            [this](decisions::fleet_view_ptr view) {
              {
                const std::lock_guard lock(view_mutex_);
                view_ = view;
              }
              if (options_.on_change) options_.on_change(std::move(view));
            },
        .set_responded_peers = [this](int count) { responded_peers_ = count; },
        .on_version_reported =
            [this](const std::string& node_id, std::uint64_t version) {
              const std::lock_guard lock(view_mutex_);
              reported_versions_[node_id] = version;
            }};
  }

  mesh_options options_;
  base::metrics own_metrics_;
  base::metrics& metrics_;
  const int wake_;
  base::address bound_;
  std::atomic<int> responded_peers_{0};

  std::mutex queue_mutex_;
  std::vector<std::function<void(mesh_loop&)>> queue_;

  mutable std::mutex view_mutex_;
  decisions::fleet_view_ptr view_;
  std::map<std::string, std::uint64_t>
      reported_versions_;  // Guarded by view_mutex_.

  std::thread thread_;
};

mesh::mesh(mesh_options options)
    : state_(std::make_unique<state>(std::move(options))) {}

mesh::~mesh() = default;

base::status mesh::Start() { return state_->Start(); }

void mesh::Offer(config::snapshot_ptr configuration) {
  state_->Post([configuration = std::move(configuration)](mesh_loop& loop) {
    loop.Offer(configuration);
  });
}

void mesh::Offer(const decisions::move& move) {
  state_->Post([move](mesh_loop& loop) { loop.Offer(move); });
}

void mesh::Forget(const std::string& move_id) {
  state_->Post([move_id](mesh_loop& loop) { loop.Forget(move_id); });
}

void mesh::SetServer(const decisions::server_record& server) {
  state_->Post([server](mesh_loop& loop) { loop.SetServer(server); });
}

void mesh::SendEvidence(const decisions::evidence_report& report) {
  state_->Post([report](mesh_loop& loop) { loop.SendEvidence(report); });
}

void mesh::AddSeeds(const std::vector<base::address>& seeds) {
  state_->Post([seeds](mesh_loop& loop) { loop.AddSeeds(seeds); });
}

void mesh::Leave() {
  state_->Post([](mesh_loop& loop) { loop.Leave(); });
}

decisions::fleet_view_ptr mesh::View() const { return state_->View(); }

base::address mesh::RpcAddress() const { return state_->Bound(); }

std::map<std::string, std::uint64_t> mesh::ReportedVersions() const {
  return state_->ReportedVersions();
}

int mesh::RespondedPeers() const { return state_->RespondedPeers(); }

bool mesh::HasJob(const std::string& job, std::size_t count) const {
  const mesh_options& options = state_->Options();
  std::vector<std::string> ids;
  for (const auto& member : View()->members) {
    if (member.data_centre == options.data_centre &&
        decisions::IsLiving(member)) {
      ids.push_back(member.node_id);
    }
  }
  const auto chosen = decisions::ChooseByRendezvous(
      JobKey(job, options.data_centre), ids, count);
  return std::ranges::find(chosen, options.node_id) != chosen.end();
}

}  // namespace fireflyspar::nodes
