#include "platform/object_reconciler.h"

#include <utility>

#include "platform/reachability.h"
#include "platform/worker_thread.h"

namespace fireflyspar::platform {
namespace {

using base::error_kind;

// An object with its last known state at the platform.
struct reconciled_state {
  reconciled_object object;
  // Empty until it is read; version zero: the object does not exist.
  std::optional<platform::object> known;
  base::instant may_write_at;
};

}  // namespace

class object_reconciler::state {
 public:
  explicit state(object_reconciler_options options)
      : options_(std::move(options)),
        reachability_("keeper", *options_.metrics, options_.retry,
                      options_.random) {
    for (const reconciled_object& each : options_.objects) {
      entries_.push_back({.object = each});
    }
  }

  void Start() {
    thread_.Start([this] { thread_.Pause(ReconcileAll()); });
  }

  void Stop() {
    thread_.Stop([this] {
      if (options_.api.interrupt) options_.api.interrupt();
    });
  }

  base::duration ReconcileAll() {
    for (reconciled_state& each : entries_) {
      const base::status checked = Check(each);
      if (!checked) return reachability_.OnFailure(checked.Failure());
    }
    // Jitter keeps two nodes with the same objects from checking
    // simultaneously.
    const auto every =
        std::chrono::duration_cast<base::duration>(options_.check_every);
    const double jitter = 0.5 + base::ToUnitInterval(options_.random());
    return base::duration(
        static_cast<std::int64_t>(static_cast<double>(every.count()) * jitter));
  }

 private:
  base::status Check(reconciled_state& entry) {
    if (!entry.object.is_assigned()) {
      entry.known.reset();
      return base::success{};
    }
    if (!entry.known) {
      const base::status read = Read(entry);
      if (!read) return read;
    }
    const auto next = entry.object.next(entry.known->value);
    if (!next || options_.clock() < entry.may_write_at) return base::success{};
    return Write(entry, *next);
  }

  base::status Read(reconciled_state& entry) {
    auto got = options_.api.get(entry.object.key);
    if (!got && got.Failure().Kind() != error_kind::kNotFound) {
      return got.Failure();
    }
    reachability_.OnSuccess();
    entry.known =
        got ? *std::move(got) : platform::object{.key = entry.object.key};
    return base::success{};
  }

  base::status Write(reconciled_state& entry, const std::string& value) {
    entry.may_write_at = options_.clock() + entry.object.min_write_interval;
    const auto put =
        options_.api.put(entry.object.key, value, entry.known->version);
    if (!put) {
      // After any failure the stored object may have changed, so the next check
      // reads it again.
      entry.known.reset();
      if (put.Failure().Kind() == error_kind::kConflict) {
        return base::success{};
      }
      return put.Failure();
    }
    reachability_.OnSuccess();
    entry.known->version = *put;
    entry.known->value = value;
    return base::success{};
  }

  const object_reconciler_options options_;
  reachability reachability_;
  std::vector<reconciled_state> entries_;
  worker_thread thread_;
};

object_reconciler::object_reconciler(object_reconciler_options options)
    : state_(std::make_unique<state>(std::move(options))) {}

object_reconciler::~object_reconciler() { Stop(); }

void object_reconciler::Start() { state_->Start(); }

void object_reconciler::Stop() { state_->Stop(); }

base::duration object_reconciler::ReconcileAll() {
  return state_->ReconcileAll();
}

}  // namespace fireflyspar::platform
