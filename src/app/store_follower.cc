#include "app/store_follower.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>

#include "config/partial_configuration.h"
#include "decisions/store_readers.h"
#include "proxy/server_entry_json.h"

namespace fireflyspar::app {
namespace {

using base::event_priority;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

// Changes of objects of one kind are collected for a delay and then read with a
// single call. For the configuration, which is long, the delay is this fraction
// of store_follower_options::configuration_limit.
constexpr double kConfigurationBatchFraction = 0.55;
// The same for a process on which others wait.
constexpr double kReaderBatchFraction = 0.25;
constexpr milliseconds kEntryBatchDelay{1000};
constexpr milliseconds kRolloutBatchDelay{100};
constexpr milliseconds kEvacuationBatchDelay{100};

// Mean wait before a probe of the store: in general, and by a process that
// reads late.
constexpr milliseconds kProbe{1000};
constexpr milliseconds kLateProbe{2000};

// Time after the start by which a process knows enough peers to decide whether
// it reads the store at once.
constexpr milliseconds kDecideAfter{2000};

// Pause between two decisions; there is none before the first one.
constexpr milliseconds kDecisionPause{1000};

// Time after a restore of the store in which all processes notice it and write
// their entries again.
constexpr milliseconds kRestoreGrace{5000};

// The errors of one document that are logged, and the length of each.
constexpr std::size_t kMaxLoggedErrors = 8;
constexpr std::size_t kMaxLoggedBytes = 300;

}  // namespace

store_follower::store_follower(store_follower_options options)
    : options_(std::move(options)),
      watchdog_(WatchdogOptions()),
      puller_({.executor = options_.executor,
               .log = options_.log,
               .on_object = [this](proxy::shared_kind kind,
                                   const proxy::stored_object& object) {
                 Apply(kind, object);
               }}) {
  const auto add = [this](proxy::object_watcher_options watched) {
    watchers_.push_back(
        std::make_unique<proxy::object_watcher>(std::move(watched)));
  };
  add(ConfigurationWatcherOptions());
  configuration_watcher_ = watchers_.back().get();
  add(EntryWatcherOptions());
  entry_watcher_ = watchers_.back().get();
  add(RolloutWatcherOptions());
  rollout_watcher_ = watchers_.back().get();
  if (options_.evacuations != nullptr) {
    add(EvacuationWatcherOptions());
    evacuation_watcher_ = watchers_.back().get();
  }
}

void store_follower::Start() {
  started_ = steady::now();
  for (const auto& each : watchers_) {
    proxy::SpawnSupervised(
        options_.executor, [&watcher = *each] { return watcher.Run(); },
        options_.on_error);
  }
  proxy::SpawnSupervised(
      options_.executor, [this] { return watchdog_.Run(); }, options_.on_error);
}

proxy::object_watcher_options store_follower::WatcherOptions(
    const std::string& kind, std::function<milliseconds()> coalesce_delay) {
  return {.executor = options_.executor,
          .kind = kind,
          .store = options_.store,
          .log = options_.log,
          .random = options_.random,
          .coalesce_delay = std::move(coalesce_delay),
          .may_list_late = [this] { return reading_ == reading::kLate; },
          .may_watch_late = [this] { return reading_ != reading::kAtOnce; }};
}

milliseconds store_follower::ConfigurationDelay() const {
  const bool others_wait = reading_ == reading::kAtOnce && has_followers_;
  return std::chrono::duration_cast<milliseconds>(
      options_.configuration_limit *
      (others_wait ? kReaderBatchFraction : kConfigurationBatchFraction));
}

proxy::object_watcher_options store_follower::ConfigurationWatcherOptions() {
  const store_names& names = options_.adapter->names;
  auto watched = WatcherOptions(names.configuration_kind,
                                [this] { return ConfigurationDelay(); });
  watched.latest_only_object = names.configuration_name;
  watched.on_list = [this](const proxy::object_list& listed) {
    for (const proxy::stored_object& each : listed.objects) {
      Apply(proxy::shared_kind::kConfiguration, each);
    }
  };
  watched.on_change = [this](const proxy::object_change& change) {
    if (change.is_removal) return;
    Apply(proxy::shared_kind::kConfiguration, change.object);
  };
  return watched;
}

proxy::object_watcher_options store_follower::RolloutWatcherOptions() {
  auto watched = WatcherOptions(options_.adapter->names.rollout_kind,
                                [] { return kRolloutBatchDelay; });
  watched.on_list = [this](const proxy::object_list& listed) {
    for (const proxy::stored_object& each : listed.objects) {
      Apply(proxy::shared_kind::kRollouts, each);
    }
    options_.rollout_states->OnOrdersRead();
  };
  watched.on_change = [this](const proxy::object_change& change) {
    if (change.is_removal) return;
    Apply(proxy::shared_kind::kRollouts, change.object);
  };
  return watched;
}

proxy::object_watcher_options store_follower::EvacuationWatcherOptions() {
  auto watched = WatcherOptions(options_.adapter->names.evacuation_kind,
                                [] { return kEvacuationBatchDelay; });
  watched.on_list = [this](const proxy::object_list& listed) {
    options_.evacuations->OnList(listed);
    ShareEvacuations();
  };
  watched.on_change = [this](const proxy::object_change& change) {
    options_.evacuations->OnChange(change);
  };
  watched.on_watched = [this](const base::store_revision& revision) {
    options_.evacuations->OnWatched(revision);
    ShareEvacuations();
  };
  return watched;
}

proxy::object_watcher_options store_follower::EntryWatcherOptions() {
  auto watched = WatcherOptions(options_.adapter->names.entry_kind,
                                [] { return kEntryBatchDelay; });
  // Entries may arrive late: the gate decides on each offer by its own, current
  // knowledge of its server, so a router with an outdated entry does little
  // harm.
  watched.may_list_late = [] { return true; };
  watched.may_watch_late = [] { return true; };
  watched.on_list = [this](const proxy::object_list& listed) {
    OnEntries(listed);
  };
  watched.on_change = [this](const proxy::object_change& change) {
    OnEntry(change);
  };
  return watched;
}

proxy::store_watchdog_options store_follower::WatchdogOptions() {
  return {
      .executor = options_.executor,
      .store = options_.store,
      .log = options_.log,
      .random = options_.random,
      .interval =
          [this] { return reading_ == reading::kLate ? kLateProbe : kProbe; },
      .on_lost =
          [this] {
            for (const auto& each : watchers_) each->Suspend();
          },
      .on_regained =
          [this] {
            for (const auto& each : watchers_) each->Restart();
            options_.publisher->Retry();
          }};
}

void store_follower::Tick() {
  const auto now = steady::now();
  if (now < next_decision_at_) return;
  std::vector<std::string> peers;
  for (const auto& [instance, entry] : options_.directory->Entries()) {
    const bool is_peer = entry.data_centre == options_.data_centre &&
                         !options_.router->IsUnreachable(instance);
    if (is_peer) peers.push_back(instance);
  }
  has_followers_ =
      peers.size() > decisions::store_readers_options{}.readers_per_data_centre;
  const bool can_decide = has_followers_ || now - started_ >= kDecideAfter;
  if (!can_decide) return;
  next_decision_at_ = now + kDecisionPause;
  const reading next = decisions::IsStoreReader(options_.instance, peers)
                           ? reading::kAtOnce
                           : reading::kLate;
  if (next == reading_) return;
  reading_ = next;
  options_.log->Write(event_priority::kStateChange, "store_reading",
                      {{"reads", next == reading::kAtOnce ? "at_once" : "late"},
                       {"peers", std::to_string(peers.size())}});
  configuration_watcher_->Rewatch();
  rollout_watcher_->Rewatch();
  if (evacuation_watcher_ != nullptr) evacuation_watcher_->Rewatch();
}

backend_servers::http_response store_follower::AnswerPeer(
    proxy::shared_kind kind) const {
  backend_servers::http_response answer(backend_servers::http::status::ok, 11);
  answer.set(backend_servers::http::field::content_type, "application/cbor");
  answer.body() = shared_.Encode(kind);
  answer.prepare_payload();
  return answer;
}

// Objects may come from the store, also late, or from peers, in any order.
void store_follower::Apply(proxy::shared_kind kind,
                           const proxy::stored_object& object) {
  if (kind == proxy::shared_kind::kEvacuations) {
    OnPeerEvacuations(object);
    return;
  }
  if (!shared_.Put(kind, object)) return;
  if (kind == proxy::shared_kind::kConfiguration) {
    OnConfiguration(object);
  } else {
    OnRollout(object);
  }
}

void store_follower::OnPeerEvacuations(const proxy::stored_object& object) {
  if (options_.evacuations == nullptr) return;
  if (!options_.evacuations->OnPeer(object)) {
    Reject("evacuations_rejected", object, "is no list of data centres");
  }
  ShareEvacuations();
}

void store_follower::ShareEvacuations() {
  const proxy::stored_object shared = options_.evacuations->Shared();
  if (shared.revision.IsNone()) return;
  shared_.Put(proxy::shared_kind::kEvacuations, shared);
}

void store_follower::OnStoreRestored() {
  options_.log->Write(event_priority::kStateChange, "store_restored", {});
  const auto now = steady::now();
  const bool is_first = now >= keep_entries_until_;
  keep_entries_until_ = now + kRestoreGrace;
  for (const auto& each : watchers_) each->Restart();
  if (!is_first) return;
  net::co_spawn(options_.executor, ListEntriesAfterGrace(), net::detached);
}

net::awaitable<void> store_follower::ListEntriesAfterGrace() {
  while (steady::now() < keep_entries_until_) {
    net::steady_timer timer(options_.executor, keep_entries_until_);
    boost::system::error_code ignored;
    co_await timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
  }
  entry_watcher_->Restart();
}

void store_follower::CountUnreadable(std::string_view kind, std::size_t count) {
  options_.metrics
      ->Counter("fireflyspar_unreadable_values_total",
                "object=\"" + std::string(kind) + "\"")
      .fetch_add(static_cast<std::int64_t>(count), std::memory_order_relaxed);
}

void store_follower::Reject(std::string_view event,
                            const proxy::stored_object& object,
                            const std::string& detail) {
  CountUnreadable(event.substr(0, event.find('_')), 1);
  options_.log->Write(event_priority::kStateChange, event,
                      {{"name", object.name},
                       {"revision", object.revision.ToText()},
                       {"detail", detail.substr(0, kMaxLoggedBytes)}});
}

void store_follower::ReportErrors(std::span<const std::string> errors) {
  CountUnreadable("configuration", errors.size());
  for (const std::string& each :
       errors.first(std::min(errors.size(), kMaxLoggedErrors))) {
    options_.log->Write(event_priority::kStateChange, "value_unreadable",
                        {{"object", options_.adapter->names.configuration_kind},
                         {"detail", each.substr(0, kMaxLoggedBytes)}});
  }
}

void store_follower::OnConfiguration(const proxy::stored_object& object) {
  if (object.name != options_.adapter->names.configuration_name) return;
  auto decoded = options_.adapter->decode_configuration(object.content);
  if (!decoded) {
    if (last_rejection_ == decoded.Failure().detail) return;
    last_rejection_ = decoded.Failure().detail;
    Reject("configuration_rejected", object, last_rejection_);
    return;
  }
  const auto* known = options_.router->Configuration();
  const std::uint64_t version = decoded->configuration.version;
  const bool is_newer = known == nullptr || version > known->version;
  options_.log->Write(
      event_priority::kStateChange,
      is_newer ? "configuration_in_force" : "configuration_outdated",
      {{"version", std::to_string(version)},
       {"revision", object.revision.ToText()},
       {"routes", std::to_string(decoded->configuration.routes.size())},
       {"unreadable", std::to_string(decoded->unreadable_routes.size())}});
  if (!is_newer) return;
  if (!decoded->errors.empty()) ReportErrors(decoded->errors);
  options_.router->SetConfiguration(
      std::make_shared<const config::mesh_configuration>(
          config::CompleteConfiguration(*std::move(decoded), known)));
}

void store_follower::OnRollout(const proxy::stored_object& object) {
  const auto decoded = options_.adapter->decode_rollout(object);
  if (!decoded) {
    Reject("rollout_rejected", object, decoded.Failure().detail);
    return;
  }
  options_.writer->OnObject(object);
  base::duration age{};
  if (decoded->began_ms != 0) {
    const milliseconds began(decoded->began_ms);
    const auto since = options_.clock().time_since_epoch() - began;
    age = std::clamp<base::duration>(since, base::duration(0),
                                     decoded->order.period);
  }
  options_.rollout_states->OnRolloutOrder(decoded->order, decoded->has_state,
                                          age);
}

bool store_follower::PutEntry(const proxy::stored_object& object) {
  if (object.name == options_.instance) options_.publisher->OnStored(object);
  const auto entry = proxy::ParseEntry(object.name, object.content);
  if (!entry) {
    Reject("entry_rejected", object, "a field is missing or unreadable");
    return options_.directory->Remove(object.name);
  }
  if (entry->instance == options_.instance) {
    options_.on_own_server(entry->server);
  }
  // The entry of another instance with this process's own gate address is
  // obsolete, since its process can no longer be listening there.
  const bool has_own_address =
      entry->gate == options_.gate && entry->instance != options_.instance;
  if (!has_own_address) return options_.directory->Put(*entry);
  net::co_spawn(options_.executor, RemoveEntry(object), net::detached);
  return options_.directory->Remove(object.name);
}

net::awaitable<void> store_follower::RemoveEntry(proxy::stored_object object) {
  const auto removed = co_await options_.store->remove(
      options_.adapter->names.entry_kind, object.name, object.revision);
  options_.log->Write(
      event_priority::kStateChange, "entry_removed",
      {{"name", object.name}, {"result", base::NameOfResult(removed)}});
}

void store_follower::OnEntries(const proxy::object_list& listed) {
  const std::vector<proxy::stored_object>& objects = listed.objects;
  std::vector<std::string> names(objects.size());
  std::ranges::transform(objects, names.begin(), &proxy::stored_object::name);
  const bool may_lack_entries = steady::now() < keep_entries_until_;
  if (!may_lack_entries) options_.directory->KeepOnly(names);
  if (std::ranges::find(names, options_.instance) == names.end()) {
    options_.publisher->OnMissing(listed.revision);
  }
  for (const proxy::stored_object& each : objects) PutEntry(each);
  options_.router->OnDirectoryChange();
  options_.on_directory_change();
}

void store_follower::OnEntry(const proxy::object_change& change) {
  bool has_changed = false;
  if (change.is_removal) {
    if (change.object.name == options_.instance) {
      options_.publisher->OnMissing(change.object.revision);
    }
    has_changed = options_.directory->Remove(change.object.name);
  } else {
    has_changed = PutEntry(change.object);
  }
  if (!has_changed) return;
  options_.router->OnDirectoryChange();
  options_.on_directory_change();
}

}  // namespace fireflyspar::app
