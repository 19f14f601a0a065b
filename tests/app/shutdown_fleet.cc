#include "shutdown_fleet.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <map>
#include <set>
#include <sstream>
#include <stdexcept>

#include "../free_address.h"
#include "app/graceful_shutdown.h"
#include "proxy/gate_endpoint.h"

namespace fireflyspar::app {
namespace {

using backend_servers::HeaderOf;
using backend_servers::http_request;
using backend_servers::http_response;
using net::ip::tcp;
namespace http = backend_servers::http;
namespace beast = backend_servers::beast;

constexpr char kService[] = "busy";
constexpr char kWorkHeader[] = "Work-Ms";
constexpr int kServers = 2;

// Fleets run on several threads, where the test library can't check anything.
void StartOrThrow(proxy::listener& listener) {
  const base::status started = listener.Start();
  if (!started) throw std::runtime_error(started.Failure().detail);
}

proxy::header_names Headers() {
  return {.request_id = "Request-Id",
          .deadline_ms = "Deadline-Ms",
          .caller_service = "Caller-Service",
          .expected_server = "Expect-Instance",
          .not_run = "Not-Executed"};
}

config::mesh_configuration_ptr Configuration() {
  config::mesh_configuration known{.version = 1};
  known.services = {{.name = kService}};
  const auto route = [](const char* name, const char* prefix, int priority,
                        bool is_idempotent) {
    return config::mesh_route{.name = name,
                              .host = "fleet.example",
                              .path_prefix = prefix,
                              .is_idempotent = is_idempotent,
                              .timeout = milliseconds(8000),
                              .objective = milliseconds(2000),
                              .priority = priority,
                              .max_attempts = 2,
                              .targets = {{.service = kService}}};
  };
  known.routes = {route("urgent", "/urgent/", 1, true),
                  route("order", "/order/", 2, false)};
  return std::make_shared<const config::mesh_configuration>(std::move(known));
}

// Writes the request, with a pause in the middle of its body.
net::awaitable<void> WriteRequest(tcp::socket& socket, http_request& request,
                                  milliseconds body_pause,
                                  boost::system::error_code& error) {
  auto token = net::redirect_error(net::use_awaitable, error);
  if (body_pause.count() == 0) {
    co_await http::async_write(socket, request, token);
    co_return;
  }
  const std::string& body = request.body();
  std::ostringstream head;
  head << request.base();
  const std::size_t half = body.size() / 2;
  co_await net::async_write(
      socket, net::buffer(head.str() + body.substr(0, half)), token);
  if (error) co_return;
  net::steady_timer pause(socket.get_executor(), body_pause);
  co_await pause.async_wait(token);
  co_await net::async_write(socket, net::buffer(body.substr(half)), token);
}

}  // namespace

// A backend server that does what the requests ask for, at most kSlots at once;
// it refuses more.
struct shutdown_fleet::server {
  explicit server(net::io_context& loop_of_fleet)
      : loop(loop_of_fleet),
        address(tests::FreeAddress()),
        listener(loop.get_executor(),
                 {.address = address,
                  .handler = [this](auto& call) { return Serve(call); }}) {
    StartOrThrow(listener);
  }

  net::awaitable<http_response> Serve(proxy::served_call& call) {
    const std::string id(HeaderOf(call.request, "Request-Id"));
    http_response answer(http::status::ok, 11);
    answer.set("Request-Id", id);
    if (at_work.size() >= kSlots) {
      answer.result(http::status::service_unavailable);
      answer.set("Not-Executed", "1");
      answer.prepare_payload();
      co_return answer;
    }
    ++runs[id];
    at_work.insert(id);
    const auto number = [&call](const char* header) {
      return milliseconds(
          std::stoi(std::string(HeaderOf(call.request, header))));
    };
    const bool is_late = number(kWorkHeader) > number("Deadline-Ms");
    net::steady_timer timer(
        loop, std::min(number(kWorkHeader), number("Deadline-Ms")));
    call.cancel->OnCancel([&timer] { timer.cancel(); });
    boost::system::error_code ignored;
    co_await timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
    call.cancel->OnCancel(nullptr);
    at_work.erase(id);
    run_ended_at[id] = steady::now();
    if (is_late) answer.result(http::status::gateway_timeout);
    answer.body() = id;
    answer.prepare_payload();
    co_return answer;
  }

  net::io_context& loop;
  base::address address;
  std::map<std::string, int> runs;  // By request id.
  std::map<std::string, steady::time_point> run_ended_at;
  std::set<std::string> at_work;
  proxy::listener listener;
};

struct shutdown_fleet::process {
  process(net::io_context& loop, int instance)
      : name("n" + std::to_string(instance)),
        gate_address(tests::FreeAddress()),
        caller_address(tests::FreeAddress()),
        log({.write = [](std::string_view bytes) { return bytes.size(); },
             .clock = base::SystemClock()}),
        gate({.executor = loop.get_executor(),
              .headers = Headers(),
              .clock = base::SystemClock(),
              .metrics = &metrics,
              .log = &log,
              .instance = name,
              .transfers = {.bytes_per_second = 2e6},
              .on_change = [](const auto&) {}}),
        rollout_states({.random = base::SeededRandom(1),
                        .log = &log,
                        .directory = &directory,
                        .write_state = [](const auto&) {}}),
        router(
            {.executor = loop.get_executor(),
             .instance = name,
             .data_centre = "here",
             .headers = Headers(),
             .metrics = &metrics,
             .log = &log,
             .random = base::SeededRandom(static_cast<unsigned>(instance) + 1),
             .local_gate = &gate,
             .directory = &directory,
             .rollout_states = &rollout_states,
             .own_service = [] { return std::string(kService); }}),
        endpoint({.local_gate = &gate}) {
    const auto listen = [&](proxy::listener_options options) {
      listeners.push_back(std::make_unique<proxy::listener>(
          loop.get_executor(), std::move(options)));
      StartOrThrow(*listeners.back());
    };
    listen({.address = caller_address,
            .handler = [this](auto& call) { return router.Route(call); }});
    listen({.address = gate_address,
            .handler = [this](auto& call) { return endpoint.Serve(call); },
            .defer_bodies = true});
    router.SetConfiguration(Configuration());
    net::co_spawn(loop, Tick(loop), net::detached);
  }

  net::awaitable<void> Tick(net::io_context& loop) {
    constexpr milliseconds kTick{100};
    while (!is_gone) {
      net::steady_timer timer(loop, kTick);
      co_await timer.async_wait(net::use_awaitable);
      gate.Tick();
      if (!report) continue;
      ++report->sequence;
      gate.OnHeartbeat(*report);
    }
  }

  std::string name;
  base::address gate_address;
  base::address caller_address;
  base::metrics metrics;
  base::event_log log;
  decisions::server_directory directory;
  proxy::gate gate;
  proxy::rollouts rollout_states;
  proxy::router router;
  proxy::gate_endpoint endpoint;
  std::vector<std::unique_ptr<proxy::listener>> listeners;
  std::optional<proxy::server_heartbeat> report;  // Of its server, if any.
  std::optional<steady::time_point> ended_at;
  bool is_gone = false;
};

shutdown_fleet::shutdown_fleet() {
  for (int i = 0; i < kServers; ++i) {
    servers_.push_back(std::make_unique<server>(loop_));
  }
  for (int i = 0; i < kInstances; ++i) {
    processes_.push_back(std::make_unique<process>(loop_, i));
  }
  for (int i = 0; i < kServers; ++i) {
    const auto at = static_cast<std::size_t>(i);
    const decisions::server_info info{.id = "i-" + std::to_string(i),
                                      .service = kService,
                                      .version = "v1",
                                      .slots = kSlots,
                                      .start_ms = 1};
    processes_[at]->report = {
        .server = info, .address = servers_[at]->address, .sequence = 1};
    processes_[at]->gate.OnHeartbeat(*processes_[at]->report);
    for (const auto& each : processes_) {
      each->directory.Put({.instance = processes_[at]->name,
                           .data_centre = "here",
                           .gate = processes_[at]->gate_address,
                           .server = info});
      each->router.OnDirectoryChange();
    }
  }
}

shutdown_fleet::~shutdown_fleet() {
  for (const auto& each : processes_) {
    each->is_gone = true;
    for (const auto& listener : each->listeners) listener->Close();
  }
  for (const auto& each : servers_) each->listener.Close();
  RunFor(milliseconds(600));
}

void shutdown_fleet::Send(const sent_request& request,
                          const std::optional<sent_request>& next) {
  ++open_calls_;
  net::co_spawn(loop_, Call(request, next),
                [this](const std::exception_ptr&) { --open_calls_; });
}

net::awaitable<void> shutdown_fleet::Call(sent_request first,
                                          std::optional<sent_request> next) {
  process& at = *processes_[static_cast<std::size_t>(first.instance)];
  tcp::socket socket(loop_);
  boost::system::error_code error;
  co_await socket.async_connect(backend_servers::ToEndpoint(at.caller_address),
                                net::redirect_error(net::use_awaitable, error));
  if (error) co_return;  // The proxy has ended.
  const bool stays_open = co_await Exchange(socket, first);
  if (stays_open && next) co_await Exchange(socket, *next);
}

net::awaitable<bool> shutdown_fleet::Exchange(tcp::socket& socket,
                                              const sent_request& sent) {
  request_end end{
      .id = sent.id.empty() ? "id-" + std::to_string(++last_id_) : sent.id,
      .sent = sent};
  const bool is_order = sent.route == fleet_route::kOrder;
  http_request request(is_order ? http::verb::post : http::verb::get,
                       is_order ? "/order/x" : "/urgent/x", 11);
  request.set(http::field::host, "fleet.example");
  request.set("Request-Id", end.id);
  request.set("Deadline-Ms", std::to_string(sent.deadline.count()));
  request.set(kWorkHeader, std::to_string(sent.work.count()));
  request.body() = std::string(sent.body_bytes, 'x');
  request.prepare_payload();
  boost::system::error_code error;
  auto token = net::redirect_error(net::use_awaitable, error);
  co_await WriteRequest(socket, request, sent.body_pause, error);
  end.sent_at = steady::now();
  http_response answer;
  beast::flat_buffer buffer;
  if (!error) co_await http::async_read(socket, buffer, answer, token);
  end.ended_at = steady::now();
  if (!error) {
    end.status = answer.result_int();
    end.has_own_body = answer.body() == end.id;
    end.says_when_to_retry = !HeaderOf(answer, "Retry-After").empty();
  }
  ends_.push_back(end);
  co_return !error && answer.keep_alive();
}

int shutdown_fleet::KeepConnection(int instance) {
  process& at = *processes_[static_cast<std::size_t>(instance)];
  kept_.push_back(std::make_unique<tcp::socket>(loop_));
  kept_.back()->connect(backend_servers::ToEndpoint(at.caller_address));
  return static_cast<int>(kept_.size()) - 1;
}

void shutdown_fleet::SendOnKept(int connection, const sent_request& request) {
  ++open_calls_;
  net::co_spawn(loop_,
                CallOnKept(static_cast<std::size_t>(connection), request),
                [this](const std::exception_ptr&) { --open_calls_; });
}

net::awaitable<void> shutdown_fleet::CallOnKept(std::size_t connection,
                                                sent_request request) {
  co_await Exchange(*kept_[connection], request);
}

void shutdown_fleet::End(int instance) {
  ++open_shutdowns_;
  net::co_spawn(loop_, EndProcess(instance),
                [this](const std::exception_ptr&) { --open_shutdowns_; });
}

net::awaitable<void> shutdown_fleet::EndProcess(int instance) {
  process& ending = *processes_[static_cast<std::size_t>(instance)];
  graceful_shutdown shutdown(
      {.executor = loop_.get_executor(),
       .log = &ending.log,
       .limit = kGrace,
       .router = &ending.router,
       .gate = &ending.gate,
       .caller_listener = ending.listeners[0].get(),
       .listeners = ending.listeners,
       .withdraw = [this] { return CallSilentStore(); }});
  co_await shutdown.Run();
  ending.ended_at = steady::now();
  for (const auto& each : ending.listeners) each->Close();
}

net::awaitable<void> shutdown_fleet::CallSilentStore() {
  net::steady_timer timer(loop_, std::chrono::hours(1));
  boost::system::error_code ignored;
  co_await timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
}

std::optional<steady::time_point> shutdown_fleet::EndedAt(int instance) const {
  return processes_[static_cast<std::size_t>(instance)]->ended_at;
}

void shutdown_fleet::RunFor(milliseconds span) {
  loop_.restart();
  loop_.run_for(span);
}

void shutdown_fleet::RunToEnd() {
  while (open_calls_ > 0 || open_shutdowns_ > 0) RunFor(milliseconds(20));
  // Whatever is still going to run does so now.
  RunFor(milliseconds(500));
  for (request_end& each : ends_) {
    for (const auto& at : servers_) {
      const auto found = at->runs.find(each.id);
      if (found == at->runs.end()) continue;
      each.runs += found->second;
      const auto run_ended = at->run_ended_at.find(each.id);
      if (run_ended != at->run_ended_at.end()) {
        each.run_ended_at = run_ended->second;
      }
    }
  }
}

}  // namespace fireflyspar::app
