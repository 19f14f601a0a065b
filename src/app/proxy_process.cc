#include "app/proxy_process.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <csignal>
#include <iostream>

#include "app/entry_publisher.h"
#include "app/evacuation_follower.h"
#include "app/graceful_shutdown.h"
#include "app/plain_answer.h"
#include "app/process_memory.h"
#include "app/rollout_writer.h"
#include "app/server_reports.h"
#include "app/store_follower.h"
#include "app/withheld_requests.h"
#include "backend_servers/listening_check.h"
#include "base/event_log.h"
#include "base/metrics.h"
#include "proxy/gate_endpoint.h"
#include "proxy/listener.h"
#include "proxy/rollouts.h"
#include "proxy/router.h"
#include "proxy/server_entry_json.h"
#include "proxy/supervision.h"
#include "proxy/suspect_exchange.h"
#include "proxy/suspect_text.h"

namespace fireflyspar::app {
namespace {

using backend_servers::http_request;
using backend_servers::http_response;
using base::event_priority;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;
namespace http = backend_servers::http;

constexpr milliseconds kTick{100};

constexpr int kTicksPerSecond = 10;

constexpr milliseconds kDeadPeerTimeout{1500};

// A slow store answers within a quarter of it.
constexpr milliseconds kOrdersWait{1000};
constexpr milliseconds kPastWait{1000};

constexpr milliseconds kEndCheckTimeout{200};

// Path, beside the metrics, of the list of what is suspected and withheld.
constexpr std::string_view kSuspectsPage = "/suspects";

// The share of the process's memory for each of its four kinds of bodies is one
// divided by this.
constexpr std::uint64_t kBodyMemoryDivisor = 8;

}  // namespace

class proxy_process {
 public:
  proxy_process(const platform_adapter& adapter, proxy_settings settings);

  base::status Start();
  void Run() { proxy::RunSupervised(loop_, OnUnexpectedError()); }

 private:
  // Returns the hook that reports an unexpected error.
  proxy::unexpected_error_hook OnUnexpectedError();
  proxy::gate_options GateOptions();
  proxy::router_options RouterOptions();
  proxy::rollouts_options RolloutsOptions();
  store_follower_options FollowerOptions();
  // Memory for the bodies of callers' requests, in bytes. As much each is for
  // those of requests at the gate, for the answers of the server here and for
  // those of other instances.
  std::uint64_t BodyMemory() const;
  void MakeListeners();

  net::awaitable<http_response> OnReadiness(proxy::served_call& call);
  net::awaitable<http_response> OnMetrics(proxy::served_call& call);

  // Takes in the entry that the process before this one has left.
  void OnPast(const std::optional<proxy::stored_object>& left);
  void OnServerChange(const std::optional<decisions::server_info>& server);

  net::awaitable<void> Tick();
  net::awaitable<void> HandleSignals();
  net::awaitable<void> ShutDown();
  net::awaitable<void> Pause(base::duration span);
  void Reload(std::string_view cause);

  const platform_adapter& adapter_;
  proxy_settings settings_;
  std::string settings_stamp_;
  net::io_context loop_{1};
  net::any_io_executor executor_ = loop_.get_executor();
  net::signal_set signals_{loop_, SIGTERM, SIGINT, SIGHUP};
  base::clock_hook clock_ = base::SystemClock();
  base::random_hook random_ = base::SystemRandom();
  base::metrics metrics_;
  base::event_log log_;
  proxy::object_store store_;
  bool is_shutting_down_ = false;

  decisions::server_directory directory_;
  evacuation_follower evacuations_;
  proxy::gate gate_;
  proxy::rollouts rollouts_;
  proxy::quota_exchange quota_;
  proxy::router router_;
  rollout_writer rollout_writer_;
  entry_publisher publisher_;
  server_reports reports_;
  store_follower follower_;
  proxy::suspect_exchange suspects_;
  withheld_requests withheld_;
  proxy::gate_endpoint gate_endpoint_;
  proxy::body_memory caller_bodies_;
  std::vector<std::unique_ptr<proxy::listener>> listeners_;
  proxy::listener* caller_listener_ = nullptr;
};

proxy_process::proxy_process(const platform_adapter& adapter,
                             proxy_settings settings)
    : adapter_(adapter),
      settings_(std::move(settings)),
      settings_stamp_(adapter_.settings_stamp()),
      log_({.write = base::WriteToStandardOutput, .clock = clock_}),
      store_(adapter_.connect_store(executor_, settings_.store, &metrics_,
                                    [this] { follower_.OnStoreRestored(); })),
      evacuations_({.log = &log_,
                    .on_change =
                        [this] {
                          gate_.SetEvacuated(
                              evacuations_.IsEvacuated(settings_.data_centre));
                        }}),
      gate_(GateOptions()),
      rollouts_(RolloutsOptions()),
      quota_({.executor = executor_,
              .instance = settings_.instance,
              .data_centre = settings_.data_centre,
              .limits = settings_.quotas,
              .is_first_start = settings_.is_first_start,
              .directory = &directory_,
              .log = &log_,
              .metrics = &metrics_}),
      router_(RouterOptions()),
      rollout_writer_(
          {.executor = executor_,
           .adapter = &adapter_,
           .store = &store_,
           .log = &log_,
           .random = random_,
           .clock = clock_,
           .reads_at_once = [this] { return follower_.ReadsAtOnce(); }}),
      publisher_({.executor = executor_,
                  .store = &store_,
                  .log = &log_,
                  .random = random_,
                  .kind = adapter_.names.entry_kind,
                  .instance = settings_.instance,
                  .on_first_read = [this](const auto& left) { OnPast(left); },
                  .has_server_ended =
                      [this] {
                        return backend_servers::IsConnectionRefused(
                            executor_, settings_.server, kEndCheckTimeout);
                      }}),
      reports_({.adapter = &adapter_,
                .log = &log_,
                .gate = &gate_,
                .publisher = &publisher_}),
      follower_(FollowerOptions()),
      suspects_({.executor = executor_,
                 .instance = settings_.instance,
                 .suspects = &gate_.Suspects(),
                 .directory = &directory_,
                 .log = &log_,
                 .random = random_}),
      withheld_({.executor = executor_,
                 .store = &store_,
                 .log = &log_,
                 .random = random_,
                 .clock = clock_,
                 .kind = adapter_.names.withheld_kind,
                 .instance = settings_.instance,
                 .suspects = &gate_.Suspects(),
                 .on_lifted =
                     [this](const decisions::suspect& lifted) {
                       suspects_.OnChange(lifted);
                     }}),
      gate_endpoint_({.local_gate = &gate_,
                      .suspects =
                          [this](const http_request& request) {
                            return suspects_.Serve(request);
                          },
                      .quota =
                          [this](const http_request& request) {
                            return quota_.Serve(request);
                          },
                      .shared_objects =
                          [this](proxy::shared_kind kind) {
                            return follower_.AnswerPeer(kind);
                          }}),
      caller_bodies_(BodyMemory()) {
  MakeListeners();
}

proxy::unexpected_error_hook proxy_process::OnUnexpectedError() {
  return [this](std::string_view detail) {
    metrics_.Counter("fireflyspar_unexpected_errors_total")
        .fetch_add(1, std::memory_order_relaxed);
    log_.Write(event_priority::kFailure, "unexpected_error",
               {{"detail", std::string(detail)}});
  };
}

proxy::gate_options proxy_process::GateOptions() {
  return {.executor = executor_,
          .headers = adapter_.headers,
          .clock = clock_,
          .metrics = &metrics_,
          .log = &log_,
          .instance = settings_.instance,
          .transfers = {.bytes_per_second = settings_.link_bytes_per_second,
                        .max_held_bytes = BodyMemory()},
          .answers = {.max_bytes = BodyMemory()},
          .wait_for_past = kPastWait,
          .held = [this] { return follower_.Held(); },
          .on_suspect =
              [this](const decisions::suspect& changed) {
                suspects_.OnChange(changed);
              },
          .cold_start_rules_of =
              [this](std::string_view service) {
                return settings_.has_cold_limits
                           ? proxy::ColdStartRulesOf(router_.Configuration(),
                                                     service)
                           : proxy::cold_start_rules{};
              },
          .on_change =
              [this](const std::optional<decisions::server_info>& server) {
                OnServerChange(server);
              }};
}

std::uint64_t proxy_process::BodyMemory() const {
  return settings_.memory_bytes / kBodyMemoryDivisor;
}

proxy::rollouts_options proxy_process::RolloutsOptions() {
  return {.random = random_,
          .log = &log_,
          .directory = &directory_,
          .write_state =
              [this](const decisions::rollout_order& order) {
                rollout_writer_.Write(order);
              },
          .wait_for_orders = kOrdersWait};
}

proxy::router_options proxy_process::RouterOptions() {
  return {.executor = executor_,
          .instance = settings_.instance,
          .data_centre = settings_.data_centre,
          .headers = adapter_.headers,
          .metrics = &metrics_,
          .log = &log_,
          .random = random_,
          .local_gate = &gate_,
          .directory = &directory_,
          .rollout_states = &rollouts_,
          .quota = &quota_,
          .budget = settings_.repeats,
          .answers = {.max_bytes = BodyMemory()},
          .own_service = [this] { return settings_.service; },
          .is_configuration_fresh = [this] { return follower_.IsInTouch(); },
          .is_evacuated =
              [this](std::string_view data_centre) {
                return evacuations_.IsEvacuated(data_centre);
              },
          .on_peer_holds =
              [this](const decisions::server_entry& peer,
                     const proxy::shared_revisions& held) {
                follower_.OnPeerHolds(peer, held);
              }};
}

void proxy_process::MakeListeners() {
  const auto add = [this](proxy::listener_options options) {
    options.on_error = OnUnexpectedError();
    listeners_.push_back(
        std::make_unique<proxy::listener>(executor_, std::move(options)));
  };
  add({.address = settings_.callers,
       .handler =
           [this](proxy::served_call& call) { return router_.Route(call); },
       .limits =
           [this] {
             const auto* known = router_.Configuration();
             return known != nullptr ? known->limits : config::request_limits{};
           },
       .bodies = &caller_bodies_});
  caller_listener_ = listeners_.back().get();
  add({.address = settings_.gate,
       .handler =
           [this](proxy::served_call& call) {
             return gate_endpoint_.Serve(call);
           },
       .dead_peer_timeout = kDeadPeerTimeout,
       .defer_bodies = true});
  add({.address = settings_.reports,
       .handler = [this](proxy::served_call& call) {
         return reports_.Serve(call);
       }});
  add({.address = settings_.readiness,
       .handler = [this](proxy::served_call& call) {
         return OnReadiness(call);
       }});
  add({.address = settings_.metrics,
       .handler = [this](proxy::served_call& call) {
         return OnMetrics(call);
       }});
}

store_follower_options proxy_process::FollowerOptions() {
  return {.executor = executor_,
          .adapter = &adapter_,
          .store = &store_,
          .log = &log_,
          .metrics = &metrics_,
          .random = random_,
          .clock = clock_,
          .instance = settings_.instance,
          .data_centre = settings_.data_centre,
          .gate = settings_.gate,
          .configuration_limit = settings_.configuration_limit,
          .directory = &directory_,
          .rollout_states = &rollouts_,
          .router = &router_,
          .writer = &rollout_writer_,
          .evacuations = settings_.has_evacuations ? &evacuations_ : nullptr,
          .publisher = &publisher_,
          .on_error = OnUnexpectedError(),
          .on_directory_change =
              [this] {
                suspects_.OnDirectoryChange();
                quota_.OnDirectoryChange();
              },
          .on_own_server =
              [this](const decisions::server_info& stored) {
                gate_.OnStored(stored);
              }};
}

base::status proxy_process::Start() {
  for (const auto& each : listeners_) {
    if (const auto started = each->Start(); !started) return started;
  }
  follower_.Start();
  const auto start = [this](std::function<net::awaitable<void>()> work) {
    proxy::SpawnSupervised(executor_, std::move(work), OnUnexpectedError());
  };
  start([this] { return publisher_.Run(); });
  start([this] { return withheld_.Run(); });
  start([this] { return Tick(); });
  start([this] { return HandleSignals(); });
  log_.Write(event_priority::kStateChange, "started",
             {{"instance", settings_.instance},
              {"data_centre", settings_.data_centre},
              {"service", settings_.service},
              {"callers", settings_.callers.ToText()},
              {"gate", settings_.gate.ToText()},
              {"store", settings_.store.ToText()}});
  return base::success{};
}

net::awaitable<http_response> proxy_process::OnReadiness(
    proxy::served_call& call) {
  const std::string_view target =
      backend_servers::ToView(call.request.target());
  if (target.substr(0, target.find('?')) != adapter_.readiness_path) {
    co_return PlainAnswer(http::status::not_found, "not found\n");
  }
  const bool is_ready = !is_shutting_down_ &&
                        router_.Configuration() != nullptr &&
                        !rollouts_.IsWaitingForOrders();
  co_return is_ready
      ? PlainAnswer(http::status::ok, "ready\n")
      : PlainAnswer(http::status::service_unavailable, "not ready\n");
}

net::awaitable<http_response> proxy_process::OnMetrics(
    proxy::served_call& call) {
  if (backend_servers::ToView(call.request.target()) == kSuspectsPage) {
    co_return PlainAnswer(http::status::ok,
                          proxy::ListSuspects(gate_.Suspects(), steady::now()));
  }
  metrics_.Gauge("fireflyspar_log_lines_dropped")
      .store(static_cast<std::int64_t>(log_.DroppedLines()));
  metrics_.Gauge("fireflyspar_known_servers")
      .store(static_cast<std::int64_t>(directory_.Entries().size()));
  proxy::ShowSuspects(gate_.Suspects(), metrics_, steady::now());
  const auto* known = router_.Configuration();
  metrics_.Gauge("fireflyspar_configuration_version")
      .store(known == nullptr ? 0 : static_cast<std::int64_t>(known->version));
  co_return PlainAnswer(http::status::ok, metrics_.ToPrometheusText());
}

void proxy_process::OnPast(const std::optional<proxy::stored_object>& left) {
  const auto entry =
      left ? proxy::ParseEntry(left->name, left->content) : std::nullopt;
  if (entry) gate_.OnStored(entry->server);
  gate_.OnPastKnown();
}

void proxy_process::OnServerChange(
    const std::optional<decisions::server_info>& server) {
  if (!server) return;
  publisher_.SetDesired({.instance = settings_.instance,
                         .data_centre = settings_.data_centre,
                         .gate = settings_.gate,
                         .server = *server});
}

net::awaitable<void> proxy_process::Pause(base::duration span) {
  net::steady_timer timer(executor_, span);
  boost::system::error_code ignored;
  co_await timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
}

net::awaitable<void> proxy_process::Tick() {
  for (int ticks = 0;; ++ticks) {
    co_await Pause(kTick);
    gate_.Tick();
    rollouts_.Tick();
    log_.Flush();
    follower_.Tick();
    suspects_.Tick();
    quota_.Tick();
    if (ticks % kTicksPerSecond != 0) continue;
    if (adapter_.settings_stamp() != settings_stamp_) {
      Reload("the settings changed");
    }
  }
}

void proxy_process::Reload(std::string_view cause) {
  settings_stamp_ = adapter_.settings_stamp();
  const auto read = adapter_.read_settings();
  if (!read) {
    log_.Write(
        event_priority::kStateChange, "reload_refused",
        {{"cause", std::string(cause)}, {"detail", read.Failure().detail}});
    return;
  }
  // Only the service is applied now. Other changes take effect at the next
  // start.
  settings_.service = read->service;
  log_.Write(event_priority::kStateChange, "reloaded",
             {{"cause", std::string(cause)},
              {"service", settings_.service},
              {"needs_restart", *read == settings_ ? "0" : "1"}});
}

net::awaitable<void> proxy_process::HandleSignals() {
  for (;;) {
    boost::system::error_code error;
    const int signal = co_await signals_.async_wait(
        net::redirect_error(net::use_awaitable, error));
    if (error) co_return;
    if (signal == SIGHUP) {
      Reload("SIGHUP");
      continue;
    }
    if (is_shutting_down_) continue;
    is_shutting_down_ = true;
    net::co_spawn(executor_, ShutDown(), net::detached);
  }
}

net::awaitable<void> proxy_process::ShutDown() {
  graceful_shutdown shutdown(
      {.executor = executor_,
       .log = &log_,
       .limit = settings_.shutdown_limit,
       .router = &router_,
       .gate = &gate_,
       .caller_listener = caller_listener_,
       .listeners = listeners_,
       .withdraw =
           [this] {
             quota_.OnLeave();
             return publisher_.Withdraw();
           },
       .is_entry_settled = [this] { return publisher_.IsSettled(); }});
  co_await shutdown.Run();
  for (const auto& each : listeners_) each->Close();
  log_.Flush();
  loop_.stop();
}

int RunProxyProcess(const platform_adapter& adapter) {
  ReturnLargeAllocations();
  const auto settings = adapter.read_settings();
  if (!settings) {
    std::cerr << "fireflyspar: " << settings.Failure().detail << '\n';
    return base::ErrorInfoFor(settings.Failure().Kind()).exit_code;
  }
  proxy_process process(adapter, *settings);
  if (const auto started = process.Start(); !started) {
    std::cerr << "fireflyspar: " << started.Failure().detail << '\n';
    return base::ErrorInfoFor(started.Failure().Kind()).exit_code;
  }
  process.Run();
  return 0;
}

}  // namespace fireflyspar::app
