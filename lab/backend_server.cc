#include "lab/backend_server.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

#include "backend_servers/announcement.h"
#include "backend_servers/headers.h"
#include "backend_servers/http.h"
#include "base/settings.h"
#include "callers/worker_pool.h"

namespace fireflyspar::lab {
namespace {

using backend_servers::connection;
using backend_servers::http_request;
using backend_servers::http_response;
using backend_servers::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
namespace net = boost::asio;
namespace http = boost::beast::http;

constexpr milliseconds kAnnounceInterval{1000};
constexpr int kHundred = 100;

bool Bernoulli(int percent) {
  thread_local std::mt19937 engine(std::random_device{}());
  return percent > 0 &&
         std::uniform_int_distribution(0, kHundred - 1)(engine) < percent;
}

// Sends one announcement to the node and waits for the answer. Errors are
// ignored: a node that is down gets the next announcement a second later.
void AnnounceOnce(const base::address& node, const std::string& body) {
  error_code error;
  net::io_context loop;
  boost::beast::tcp_stream stream(loop);
  stream.expires_after(kAnnounceInterval);
  stream.connect(backend_servers::ToEndpoint(node), error);
  if (error) return;
  http_request request(http::verb::post, backend_servers::kAnnouncePath, 11);
  request.set(http::field::host, node.ToText());
  request.set(http::field::content_type, "application/json");
  request.body() = body;
  request.keep_alive(false);
  request.prepare_payload();
  http::write(stream, request, error);
  boost::beast::flat_buffer buffer;
  http_response response;
  http::read(stream, buffer, response, error);
}

}  // namespace

class backend_server::state {
 public:
  explicit state(backend_server_options options)
      : options_(std::move(options)),
        workers_(options_.workers),
        acceptor_(workers_.At(0).loop) {}

  ~state() {
    stopping_ = true;
    if (announcer_.joinable()) announcer_.join();
    workers_.Stop();
  }

  base::status Start();
  void Drain() {
    draining_ = true;
    if (options_.node_address.port != 0) Announce();
  }
  int InFlight() const { return in_flight_; }
  base::address Address() const { return bound_; }
  run_counts Runs() const;
  std::int64_t RunCount(const std::string& request_id) const {
    const std::lock_guard lock(mutex_);
    const auto found = runs_.find(request_id);
    return found == runs_.end() ? 0 : found->second;
  }

 private:
  net::awaitable<void> Accept();
  net::awaitable<void> Serve(std::unique_ptr<connection> client);
  net::awaitable<void> SimulateWork(const http_request& request, int in_flight,
                                    bool is_bad);
  http_response CountRunAndRespond(const http_request& request, bool is_bad);
  http_response RunCountsResponse() const;
  bool IsBad(const http_request& request, int in_flight) const;
  bool IsCold() const { return Age() < options_.cold; }
  milliseconds Age() const {
    return std::chrono::duration_cast<milliseconds>(steady_clock::now() -
                                                    start_time_);
  }
  void Announce() const;
  void AnnouncePeriodically();

  const backend_server_options options_;
  callers::worker_pool workers_;
  tcp::acceptor acceptor_;
  base::address bound_;
  steady_clock::time_point start_time_ = steady_clock::now();
  std::atomic<bool> draining_{false};
  std::atomic<bool> stopping_{false};
  std::atomic<int> in_flight_{0};
  std::thread announcer_;
  mutable std::mutex mutex_;
  std::map<std::string, std::int64_t> runs_;
  std::int64_t total_ = 0;
};

base::status backend_server::state::Start() {
  error_code error;
  const tcp::endpoint endpoint = backend_servers::ToEndpoint(options_.address);
  error = acceptor_.open(endpoint.protocol(), error);
  if (!error) {
    error = acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) error = acceptor_.bind(endpoint, error);
  if (!error) {
    error = acceptor_.listen(net::socket_base::max_listen_connections, error);
  }
  if (error) {
    return base::Fail(base::error_kind::kBadSettings,
                      options_.address.ToText() + ": " + error.message());
  }
  bound_ = backend_servers::ToAddress(acceptor_.local_endpoint());
  net::co_spawn(workers_.At(0).loop, Accept(), net::detached);
  workers_.Start();
  if (options_.node_address.port != 0) {
    announcer_ = std::thread([this] { AnnouncePeriodically(); });
  }
  return base::success{};
}

void backend_server::state::Announce() const {
  using decisions::server_state;
  const server_state announced_state = draining_  ? server_state::kDraining
                                       : IsCold() ? server_state::kStarting
                                                  : server_state::kServing;
  AnnounceOnce(options_.node_address,
               backend_servers::ToText({.server_address = bound_,
                                        .server = {.service = options_.service,
                                                   .version = options_.version,
                                                   .slots = options_.slots,
                                                   .state = announced_state}}));
}

void backend_server::state::AnnouncePeriodically() {
  constexpr milliseconds kPoll{20};
  while (!stopping_) {
    Announce();
    const auto next = steady_clock::now() + kAnnounceInterval;
    while (!stopping_ && steady_clock::now() < next) {
      std::this_thread::sleep_for(kPoll);
    }
  }
}

net::awaitable<void> backend_server::state::Accept() {
  error_code error;
  auto token = net::redirect_error(net::use_awaitable, error);
  for (std::size_t next = 0;; ++next) {
    callers::worker& assigned = workers_.At(next % workers_.Count());
    tcp::socket socket(assigned.loop);
    co_await acceptor_.async_accept(socket, token);
    if (error) continue;
    error = socket.set_option(tcp::no_delay(true), error);
    net::co_spawn(assigned.loop,
                  Serve(std::make_unique<connection>(std::move(socket))),
                  net::detached);
  }
}

bool backend_server::state::IsBad(const http_request& request,
                                  int in_flight) const {
  const std::string_view target = backend_servers::ToView(request.target());
  return target.starts_with(options_.bad_path_prefix) &&
         Age() >= options_.bad_after &&
         (options_.bad_above == 0 || in_flight > options_.bad_above);
}

http_response backend_server::state::RunCountsResponse() const {
  const run_counts runs = Runs();
  http_response answer(http::status::ok, 11);
  answer.set(http::field::content_type, "application/json");
  answer.body() = nlohmann::json{
      {"name", options_.name},
      {"total", runs.total},
      {"repeated",
       runs.repeated}}.dump();
  answer.prepare_payload();
  return answer;
}

http_response backend_server::state::CountRunAndRespond(
    const http_request& request, bool is_bad) {
  const std::string id(
      backend_servers::HeaderOf(request, backend_servers::kRequestIdHeader));
  {
    const std::lock_guard lock(mutex_);
    ++total_;
    ++runs_[id];
  }
  const bool fails = is_bad && Bernoulli(options_.fail_percent);
  http_response answer(
      fails ? http::status::internal_server_error : http::status::ok, 11);
  answer.set(http::field::content_type, "application/json");
  answer.set(backend_servers::kRequestIdHeader, id);
  answer.body() = nlohmann::json{
      {"server", options_.name},
      {"service", options_.service},
      {"version", options_.version},
      {"request_id", id},
      {"target", std::string(request.target())},
      {"body_bytes", request.body().size()},
      {"deadline_ms", std::string(backend_servers::HeaderOf(
                          request, backend_servers::kDeadlineHeader))},
      {"attempt", std::string(backend_servers::HeaderOf(
                      request, backend_servers::kAttemptHeader))},
      {"padding",
       std::string(
           static_cast<std::size_t>(options_.body_bytes),
           'x')}}.dump();
  answer.prepare_payload();
  return answer;
}

net::awaitable<void> backend_server::state::SimulateWork(
    const http_request& request, int, bool is_bad) {
  const int factor = IsCold() ? options_.cold_factor : 1;
  milliseconds time = options_.work * factor;
  if (is_bad) time += options_.slow;
  static_cast<void>(request);
  if (time.count() == 0) co_return;
  error_code ignored;
  auto token = net::redirect_error(net::use_awaitable, ignored);
  net::steady_timer timer(co_await net::this_coro::executor, time);
  co_await timer.async_wait(token);
}

net::awaitable<void> backend_server::state::Serve(
    std::unique_ptr<connection> client) {
  error_code error;
  auto token = net::redirect_error(net::use_awaitable, error);
  for (;;) {
    http_request request;
    co_await http::async_read(client->stream, client->buffer, request, token);
    if (error) co_return;
    http_response answer;
    if (request.target() == "/lab/runs") {
      answer = RunCountsResponse();
    } else if (options_.shed_above > 0 && in_flight_ >= options_.shed_above) {
      answer = backend_servers::MakeRefusal(base::error_kind::kShed,
                                            "the server is full");
    } else {
      const int in_flight = ++in_flight_;
      const bool is_bad = IsBad(request, in_flight);
      co_await SimulateWork(request, in_flight, is_bad);
      answer = CountRunAndRespond(request, is_bad);
      --in_flight_;
      if (is_bad && Bernoulli(options_.hang_percent)) {
        // Keeps the connection open until the client closes it.
        std::array<char, 1> byte{};
        const auto space = net::buffer(byte);
        co_await client->stream.async_read_some(space, token);
        co_return;
      }
      if (is_bad && Bernoulli(options_.truncate_percent)) {
        http::response_serializer<http::string_body> serializer(answer);
        co_await http::async_write_header(client->stream, serializer, token);
        co_return;
      }
    }
    const bool keep_alive = request.keep_alive();
    answer.keep_alive(keep_alive);
    if (request.method() == http::verb::head) answer.body().clear();
    co_await http::async_write(client->stream, answer, token);
    if (error || !keep_alive) co_return;
  }
}

run_counts backend_server::state::Runs() const {
  const std::lock_guard lock(mutex_);
  run_counts counts{.total = total_};
  for (const auto& [id, count] : runs_) {
    if (count > 1) counts.repeated.push_back(id);
  }
  return counts;
}

backend_server::backend_server(backend_server_options options)
    : state_(std::make_unique<state>(std::move(options))) {}
backend_server::~backend_server() = default;

base::status backend_server::Start() { return state_->Start(); }
void backend_server::Drain() { state_->Drain(); }
int backend_server::InFlight() const { return state_->InFlight(); }
base::address backend_server::Address() const { return state_->Address(); }
run_counts backend_server::Runs() const { return state_->Runs(); }
std::int64_t backend_server::RunCount(const std::string& request_id) const {
  return state_->RunCount(request_id);
}

}  // namespace fireflyspar::lab
