#include "platform/relay.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <thread>
#include <utility>

#include "base/log.h"
#include "platform/object_formats.h"
#include "platform/reachability.h"
#include "platform/worker_thread.h"

namespace fireflyspar::platform {
namespace {

using base::error_kind;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

base::result<config::snapshot_ptr> FetchSnapshot(const object_api& api,
                                                 const config::version_id& id) {
  auto got = api.get(std::string(kSnapshotPrefix) + id.hash);
  if (!got) return got.Failure();
  return config::MakeSnapshot(id, std::move(got->value));
}

}  // namespace

class relay::state {
 public:
  explicit state(relay_options options)
      : options_(std::move(options)),
        reachability_("relay", *options_.metrics, options_.retry,
                      options_.random),
        repeat_backoff_(options_.retry, options_.random),
        stale_(options_.metrics->Counter("fireflyspar_relay_stale_total")),
        offered_(options_.metrics->Counter(
            "fireflyspar_relay_configurations_offered_total")) {}

  void Start() {
    thread_.Start([this] { Run(); });
  }

  void Stop() {
    thread_.Stop([this] {
      if (options_.api.interrupt) options_.api.interrupt();
    });
  }

 private:
  void Run() {
    if (options_.is_assigned()) {
      Activate();
      Step();
    } else {
      Deactivate();
      thread_.Pause(options_.job_check);
    }
  }

  void Activate() {
    if (is_active_) return;
    is_active_ = true;
    known_.clear();
    Resync(options_.retry.first);
    base::LogInfo("relay_started", {});
  }

  void Deactivate() {
    if (!is_active_) return;
    is_active_ = false;
    base::LogInfo("relay_stopped", {});
  }

  // Makes the next watch start at version zero, which returns every object, and
  // schedules the next such watch after `gap`. The gaps double, so that after a
  // platform has served stale data for some time, at most about the same time
  // passes again until everything is read anew.
  void Resync(milliseconds gap) {
    watched_version_ = 0;
    resync_gap_ = std::min(gap, options_.resync_every);
    resync_at_ = steady_clock::now() + resync_gap_;
  }

  milliseconds WatchWait() const {
    const auto left =
        std::chrono::ceil<milliseconds>(resync_at_ - steady_clock::now());
    return std::clamp(left, milliseconds{1}, options_.watch_wait);
  }

  void Step() {
    if (steady_clock::now() >= resync_at_) Resync(resync_gap_ * 2);
    const bool is_whole = watched_version_ == 0;
    const auto changed =
        options_.api.watch(kWatchedPrefix, watched_version_, WatchWait());
    if (!changed) {
      OnFailure(changed.Failure());
      return;
    }
    const bool is_stale = IsStale(*changed);
    const auto newer_count = std::ranges::count_if(
        *changed, [this](const object& each) { return Process(each); });
    // If one object of the result is stale, another may be missing from it, and
    // the versions of the rest would make the next watch start after the
    // missing one.
    if (is_stale) Resync(options_.retry.first);
    if (is_whole && !ForgetMissingMoves(*changed)) return;
    if (pending_snapshot_ && !FetchPendingSnapshot()) return;
    reachability_.OnSuccess();
    if (newer_count == 0 && !changed->empty()) {
      // A watch that repeats known objects returns at once; another watch
      // without a pause would make a tight loop of platform calls.
      thread_.Pause(repeat_backoff_.Next());
      return;
    }
    repeat_backoff_.Reset();
  }

  // Returns whether the result is recognisably stale: it has an object that the
  // watch did not ask for or that is older than the known version.
  bool IsStale(const std::vector<object>& answer) const {
    return std::ranges::any_of(answer, [this](const object& each) {
      const auto known = known_.find(each.key);
      return each.version <= watched_version_ ||
             (known != known_.end() && each.version < known->second);
    });
  }

  // Processes one object of a watch result. Returns whether it is newer than
  // the known version.
  bool Process(const object& received) {
    watched_version_ = std::max(watched_version_, received.version);
    std::uint64_t& known = known_[received.key];
    if (received.version <= known) {
      if (received.version < known) ++stale_;
      return false;
    }
    known = received.version;
    if (received.key == kInForceKey) {
      ProcessInForce(received);
    } else if (received.key.starts_with(kMovePrefix)) {
      ProcessMove(received);
    }
    return true;
  }

  // A watch from version zero returns the existing objects without past
  // removals, so a move that it lacks was removed, or a lagging replica has not
  // got it yet. Reads each such move to tell which. Returns false if a read
  // failed; the next whole result is then checked again.
  bool ForgetMissingMoves(const std::vector<object>& existing) {
    const std::set<std::string> offered = offered_moves_;
    for (const std::string& key : offered) {
      if (std::ranges::find(existing, key, &object::key) != existing.end()) {
        continue;
      }
      const auto read = options_.api.get(key);
      if (read) continue;
      if (read.Failure().Kind() != error_kind::kNotFound) {
        OnFailure(read.Failure());
        watched_version_ = 0;
        return false;
      }
      ForgetMove(key);
    }
    return true;
  }

  void ForgetMove(const std::string& key) {
    offered_moves_.erase(key);
    options_.remove_move(key.substr(kMovePrefix.size()));
  }

  void ProcessInForce(const object& received) {
    const auto parsed = ParseInForce(received.value);
    if (!parsed) {
      LogMalformedObject(received.key, parsed.Failure());
      return;
    }
    if (parsed->id.version <= offered_version_) {
      ++stale_;
      return;
    }
    if (!pending_snapshot_ || pending_snapshot_->version < parsed->id.version) {
      pending_snapshot_ = parsed->id;
    }
  }

  void ProcessMove(const object& received) {
    if (received.value.empty()) {
      ForgetMove(received.key);
      return;
    }
    const auto parsed = ParseMove(received.value);
    if (!parsed) {
      LogMalformedObject(received.key, parsed.Failure());
      return;
    }
    offered_moves_.insert(received.key);
    options_.offer_move(*parsed);
  }

  bool FetchPendingSnapshot() {
    const auto fetched = FetchSnapshot(options_.api, *pending_snapshot_);
    if (!fetched) {
      OnFailure(fetched.Failure());
      // The next watch starts at version zero, so that it returns at once and
      // the same snapshot, or a newer one, is fetched then.
      watched_version_ = 0;
      return false;
    }
    offered_version_ = pending_snapshot_->version;
    pending_snapshot_.reset();
    ++offered_;
    options_.offer_configuration(*fetched);
    return true;
  }

  void OnFailure(const base::failure& failure) {
    if (thread_.Stopping()) return;
    thread_.Pause(reachability_.OnFailure(failure));
  }

  const relay_options options_;

  // The members from here to pending_snapshot_ are used only by the relay's
  // thread.
  reachability reachability_;
  backoff repeat_backoff_;
  bool is_active_ = false;
  std::uint64_t watched_version_ = 0;
  steady_clock::time_point resync_at_;
  milliseconds resync_gap_{};
  std::map<std::string, std::uint64_t> known_;  // Key to object version.
  std::set<std::string> offered_moves_;  // Keys of the moves not removed since.
  std::uint64_t offered_version_ = 0;  // Configuration version passed on last.
  // Snapshot still to be fetched.
  std::optional<config::version_id> pending_snapshot_;

  base::counter& stale_;
  base::counter& offered_;

  worker_thread thread_;
};

relay::relay(relay_options options)
    : state_(std::make_unique<state>(std::move(options))) {}

relay::~relay() { Stop(); }

void relay::Start() { state_->Start(); }

void relay::Stop() { state_->Stop(); }

namespace {

base::result<platform_state> FetchOnce(const object_api& api) {
  const auto listed = api.list(kWatchedPrefix);
  if (!listed) return listed.Failure();
  platform_state view;
  for (const object& each : *listed) {
    if (each.key == kInForceKey) {
      const auto parsed = ParseInForce(each.value);
      if (!parsed) return parsed.Failure();
      auto fetched = FetchSnapshot(api, parsed->id);
      if (!fetched) return fetched.Failure();
      view.configuration = *std::move(fetched);
    } else if (each.key.starts_with(kMovePrefix)) {
      auto parsed = ParseMove(each.value);
      if (parsed) view.moves.push_back(*std::move(parsed));
    }
  }
  return view;
}

}  // namespace

base::result<platform_state> FetchPlatformState(const fetch_options& options) {
  const auto give_up_at = steady_clock::now() + options.limit;
  backoff retry(options.retry, options.random);
  while (true) {
    auto view = FetchOnce(options.api);
    if (view || view.Failure().Kind() == error_kind::kCancelled) {
      return view;
    }
    const auto wait = retry.Next();
    if (steady_clock::now() + wait >= give_up_at) return view;
    std::this_thread::sleep_for(wait);
  }
}

}  // namespace fireflyspar::platform
