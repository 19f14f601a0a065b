#include "app/store_follower.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>

#include "config/partial_configuration.h"
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
constexpr milliseconds kEntryBatchDelay{600};
constexpr milliseconds kRolloutBatchDelay{100};

// Time after a restore of the store in which all processes notice it and write
// their entries again.
constexpr milliseconds kRestoreGrace{5000};

// The errors of one document that are logged, and the length of each.
constexpr std::size_t kMaxLoggedErrors = 8;
constexpr std::size_t kMaxLoggedBytes = 300;

}  // namespace

store_follower::store_follower(store_follower_options options)
    : options_(std::move(options)), watchdog_(WatchdogOptions()) {
  const auto add = [this](proxy::object_watcher_options watched) {
    watchers_.push_back(
        std::make_unique<proxy::object_watcher>(std::move(watched)));
  };
  add(ConfigurationWatcherOptions());
  add(EntryWatcherOptions());
  entry_watcher_ = watchers_.back().get();
  add(RolloutWatcherOptions());
}

void store_follower::Start() {
  for (const auto& each : watchers_) {
    net::co_spawn(options_.executor, each->Run(), net::detached);
  }
  net::co_spawn(options_.executor, watchdog_.Run(), net::detached);
}

proxy::object_watcher_options store_follower::WatcherOptions(
    const std::string& kind, milliseconds coalesce_delay) {
  return {.executor = options_.executor,
          .kind = kind,
          .store = options_.store,
          .log = options_.log,
          .random = options_.random,
          .coalesce_delay = coalesce_delay};
}

proxy::object_watcher_options store_follower::ConfigurationWatcherOptions() {
  const store_names& names = options_.adapter->names;
  auto watched = WatcherOptions(
      names.configuration_kind,
      std::chrono::duration_cast<milliseconds>(options_.configuration_limit *
                                               kConfigurationBatchFraction));
  watched.latest_only_object = names.configuration_name;
  watched.on_list = [this](std::span<const proxy::stored_object> all) {
    std::ranges::for_each(all, [this](const proxy::stored_object& each) {
      OnConfiguration(each);
    });
  };
  watched.on_change = [this](const proxy::object_change& change) {
    if (!change.is_removal) OnConfiguration(change.object);
  };
  return watched;
}

proxy::object_watcher_options store_follower::RolloutWatcherOptions() {
  auto watched =
      WatcherOptions(options_.adapter->names.rollout_kind, kRolloutBatchDelay);
  watched.on_list = [this](std::span<const proxy::stored_object> all) {
    std::ranges::for_each(
        all, [this](const proxy::stored_object& each) { OnRollout(each); });
  };
  watched.on_change = [this](const proxy::object_change& change) {
    if (!change.is_removal) OnRollout(change.object);
  };
  return watched;
}

proxy::object_watcher_options store_follower::EntryWatcherOptions() {
  auto watched =
      WatcherOptions(options_.adapter->names.entry_kind, kEntryBatchDelay);
  // Entries may arrive late: the gate decides on each offer by its own, current
  // knowledge of its server, so a router with an outdated entry does little
  // harm.
  watched.allow_stale = true;
  watched.on_list = [this](std::span<const proxy::stored_object> all) {
    OnEntries(all);
  };
  watched.on_change = [this](const proxy::object_change& change) {
    OnEntry(change);
  };
  return watched;
}

proxy::store_watchdog_options store_follower::WatchdogOptions() {
  return {.executor = options_.executor,
          .store = options_.store,
          .log = options_.log,
          .random = options_.random,
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

void store_follower::OnEntries(std::span<const proxy::stored_object> objects) {
  std::vector<std::string> names(objects.size());
  std::ranges::transform(objects, names.begin(), &proxy::stored_object::name);
  const bool may_lack_entries = steady::now() < keep_entries_until_;
  if (!may_lack_entries) options_.directory->KeepOnly(names);
  if (std::ranges::find(names, options_.instance) == names.end()) {
    options_.publisher->OnStored(std::nullopt);
  }
  for (const proxy::stored_object& each : objects) PutEntry(each);
  options_.router->OnDirectoryChange();
}

void store_follower::OnEntry(const proxy::object_change& change) {
  bool has_changed = false;
  if (change.is_removal) {
    if (change.object.name == options_.instance) {
      options_.publisher->OnStored(std::nullopt);
    }
    has_changed = options_.directory->Remove(change.object.name);
  } else {
    has_changed = PutEntry(change.object);
  }
  if (has_changed) options_.router->OnDirectoryChange();
}

}  // namespace fireflyspar::app
