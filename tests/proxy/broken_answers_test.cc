// What follows when a server sends what is no answer: its caller gets another
// server's answer, or hears that nobody knows the outcome.
// clang-format off: this Asio uses std::exchange without including <utility>.
#include <utility>
// clang-format on

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <sstream>
#include <string>

#include "../free_address.h"
#include "proxy/gate_endpoint.h"
#include "proxy/listener.h"
#include "proxy/router.h"

namespace fireflyspar::proxy {
namespace {

using backend_servers::HeaderOf;
using backend_servers::http_response;
using backend_servers::tcp;
namespace http = backend_servers::http;

constexpr char kGoodBody[] = "good";

// A server that answers each request with the same bytes, in which "ID" stands
// for the request's id.
class raw_server {
 public:
  raw_server(net::io_context& loop, std::string bytes)
      : acceptor_(loop, {net::ip::address_v4::loopback(), 0}),
        bytes_(std::move(bytes)) {
    net::co_spawn(loop, Accept(), net::detached);
  }

  base::address Address() const {
    return backend_servers::ToAddress(acceptor_.local_endpoint());
  }
  int Requests() const { return requests_; }

 private:
  net::awaitable<void> Accept() {
    for (;;) {
      tcp::socket socket = co_await acceptor_.async_accept(net::use_awaitable);
      net::co_spawn(acceptor_.get_executor(),
                    Serve(std::make_shared<tcp::socket>(std::move(socket))),
                    net::detached);
    }
  }

  net::awaitable<void> Serve(std::shared_ptr<tcp::socket> socket) {
    std::string received;
    for (;;) {
      const std::size_t length =
          co_await net::async_read_until(*socket, net::dynamic_buffer(received),
                                         "\r\n\r\n", net::use_awaitable);
      ++requests_;
      const std::string head = received.substr(0, length);
      received.erase(0, length);
      const std::string answer = WithId(IdIn(head));
      co_await net::async_write(*socket, net::buffer(answer),
                                net::use_awaitable);
    }
  }

  static std::string IdIn(const std::string& head) {
    const std::string name = "Request-Id: ";
    const std::size_t at = head.find(name) + name.size();
    return head.substr(at, head.find('\r', at) - at);
  }

  std::string WithId(const std::string& id) const {
    std::string answer = bytes_;
    const std::size_t at = answer.find("ID");
    return at == std::string::npos ? answer : answer.replace(at, 2, id);
  }

  tcp::acceptor acceptor_;
  std::string bytes_;
  int requests_ = 0;
};

std::string GoodAnswer() {
  return "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nContent-Length: 4\r\n\r\n" +
         std::string(kGoodBody);
}

// A gate with its server, which is that of one instance.
struct instance {
  instance(net::io_context& loop, const std::string& name,
           const std::string& bytes, base::event_log& log,
           const header_names& headers)
      : server(loop, bytes),
        info({.id = "i-" + name,
              .service = "stock",
              .version = "v1",
              .slots = 2,
              .start_ms = 1}),
        gate_address(tests::FreeAddress()),
        tested({.executor = loop.get_executor(),
                .headers = headers,
                .clock = base::SystemClock(),
                .metrics = &metrics,
                .log = &log,
                .instance = name,
                .on_change = [](const auto&) {}}),
        endpoint({.local_gate = &tested}),
        gate_listener(loop.get_executor(), {.address = gate_address,
                                            .handler =
                                                [this](served_call& call) {
                                                  return endpoint.Serve(call);
                                                },
                                            .defer_bodies = true}) {
    REQUIRE(gate_listener.Start());
    tested.OnHeartbeat(
        {.server = info, .address = server.Address(), .sequence = 1});
  }

  std::int64_t ServerFailures() {
    return metrics.Counter("fireflyspar_gate_requests_total",
                           "outcome=\"server_failed\"");
  }

  raw_server server;
  decisions::server_info info;
  base::address gate_address;
  base::metrics metrics;
  gate tested;
  gate_endpoint endpoint;
  listener gate_listener;
};

// A router with one or two instances; the server of the first is in trouble.
struct broken_answers_fixture {
  broken_answers_fixture(const std::string& bytes, bool has_other)
      : broken(loop, "n1", bytes, log, headers),
        other(loop, "n2", GoodAnswer(), log, headers) {
    Add("n1", "here", broken);
    // Farther away, so that the one in trouble is asked first.
    if (has_other) Add("n2", "there", other);
    tested.OnDirectoryChange();
    config::mesh_configuration known{.version = 1};
    known.services = {{.name = "stock"}};
    const auto route = [](const char* name, const char* prefix, bool is_safe) {
      return config::mesh_route{.name = name,
                                .host = "a.example",
                                .path_prefix = prefix,
                                .is_idempotent = is_safe,
                                .timeout = std::chrono::seconds(20),
                                .objective = std::chrono::seconds(20),
                                .max_attempts = 2,
                                .targets = {{.service = "stock"}}};
    };
    known.routes = {route("safe", "/safe/", true),
                    route("order", "/order/", false)};
    tested.SetConfiguration(
        std::make_shared<const config::mesh_configuration>(known));
  }
  ~broken_answers_fixture() {
    broken.gate_listener.Close();
    other.gate_listener.Close();
  }
  broken_answers_fixture(const broken_answers_fixture&) = delete;
  broken_answers_fixture& operator=(const broken_answers_fixture&) = delete;

  void Add(const std::string& name, const std::string& data_centre,
           const instance& added) {
    directory.Put({.instance = name,
                   .data_centre = data_centre,
                   .gate = added.gate_address,
                   .server = added.info});
  }

  http_response Send(const std::string& target, const std::string& id) {
    std::optional<http_response> answer;
    served_call call;
    call.cancel = std::make_shared<backend_servers::cancellation>();
    call.request = {http::verb::get, target, 11};
    call.request.set(http::field::host, "a.example");
    call.request.set("Request-Id", id);
    net::co_spawn(
        loop,
        [&]() -> net::awaitable<void> { answer = co_await tested.Route(call); },
        net::detached);
    loop.restart();
    while (!answer) loop.run_one();
    return *std::move(answer);
  }

  net::io_context loop;
  header_names headers{.request_id = "Request-Id",
                       .deadline_ms = "Deadline-Ms",
                       .caller_service = "Caller-Service",
                       .expected_server = "Expect-Instance",
                       .not_run = "Not-Executed"};
  std::string log_text;
  base::event_log log{{.write =
                           [this](std::string_view bytes) {
                             log_text.append(bytes);
                             return bytes.size();
                           },
                       .clock = base::SystemClock()}};
  instance broken;
  instance other;
  base::metrics metrics;
  decisions::server_directory directory;
  rollouts rollout_states{{.random = base::SeededRandom(1),
                           .log = &log,
                           .directory = &directory,
                           .write_state = [](const auto&) {}}};
  // On an instance of its own, so that each answer passes through two of them.
  router tested{{.executor = loop.get_executor(),
                 .instance = "n0",
                 .data_centre = "here",
                 .headers = headers,
                 .metrics = &metrics,
                 .log = &log,
                 .random = base::SeededRandom(1),
                 .local_gate = &other.tested,
                 .directory = &directory,
                 .rollout_states = &rollout_states,
                 .budget = {.ratio = 2},  // Each request may be retried.
                 .own_service = [] { return std::string("stock"); }}};
};

// What is no answer, each in another way.
std::string BrokenAnswer() {
  const std::string fields = "\r\nRequest-Id: ID\r\n";
  const std::string rest = "Content-Length: 4\r\n\r\nevil";
  return GENERATE_COPY(
      "HTTP/1.1 000 OK" + fields + rest, "HTTP/1.1 099 OK" + fields + rest,
      "HTTP/1.1 000 OK" + fields + "Not-Executed: 1\r\n" + rest,
      "HTTP/1.1 600 OK" + fields + "Not-Executed: 1\r\n" + rest,
      "HTTP/1.1 999 OK" + fields + "Not-Executed: 1\r\nRetry-After: 1\r\n" +
          rest,
      "HTTP/1.1 101 OK" + fields + "\r\n" + GoodAnswer(),
      "HTTP/1.1 200 OK" + fields + "Na me: v\r\n" + rest,
      "HTTP/1.1 200 OK" + fields + "Content-Length : 9\r\n" + rest,
      "HTTP/1.1 200 OK" + fields + "Na\x01me: v\r\n" + rest,
      "HTTP/1.1 200 OK" + fields + "Transfer-Encoding: gzip\r\n\r\nevil",
      "HTTP/1.1 200 OK" + fields +
          "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nevil\r\n0\r\n\r\n",
      "HTTP/1.1 503 No" + fields + "Not-Executed: 1\r\nContent-Length: x\r\n" +
          "\r\n",
      std::string("SSH-2.0-server\r\n\r\n"));
}

// Guards against a broken answer for a request that another server could run.
TEST_CASE("a request that may be repeated goes to another server") {
  const std::string bytes = BrokenAnswer();
  CAPTURE(bytes);
  broken_answers_fixture fixture(bytes, true);
  constexpr int kRequests = 6;
  for (int sent = 0; sent < kRequests; ++sent) {
    const auto answer =
        fixture.Send("/safe/x", "id-" + std::to_string(sent) + "-");
    CHECK(answer.result_int() == 200);
    CHECK(answer.body() == kGoodBody);
  }
  CHECK(fixture.broken.server.Requests() > 0);
  CHECK(fixture.other.server.Requests() == kRequests);
}

// Guards against "not run" for an order that may have run, against an order
// that runs twice, and against a server in trouble that counts as sound.
TEST_CASE("an order whose answer is broken has no known outcome") {
  const std::string bytes = BrokenAnswer();
  CAPTURE(bytes);
  broken_answers_fixture fixture(bytes, false);
  const auto answer = fixture.Send("/order/x", "the-id");
  CHECK(answer.result_int() == 502);
  CHECK(HeaderOf(answer, "Request-Id") == "the-id");
  CHECK(HeaderOf(answer, "Retry-After").empty());
  CHECK(HeaderOf(answer, "Not-Executed").empty());
  CHECK(answer.body().find("evil") == std::string::npos);
  CHECK(fixture.broken.server.Requests() == 1);
  CHECK(fixture.broken.ServerFailures() == 1);
}

// Guards against a log that a server in trouble can fill or forge.
TEST_CASE("a broken answer is told of in one bounded line of the gate") {
  const std::string bytes = BrokenAnswer();
  CAPTURE(bytes);
  broken_answers_fixture fixture(bytes, false);
  fixture.Send("/order/x", "the-id");
  fixture.log.Flush();
  CAPTURE(fixture.log_text);
  std::istringstream lines(fixture.log_text);
  int found = 0;
  for (std::string line; std::getline(lines, line);) {
    const bool is_of_gate = line.find("the-id") != std::string::npos &&
                            line.find("waited_us") != std::string::npos;
    if (!is_of_gate) continue;
    ++found;
    constexpr std::size_t kMaxLine = 600;
    CHECK(line.size() < kMaxLine);
    CHECK(line.find("evil") == std::string::npos);
  }
  CHECK(found == 1);
}

}  // namespace
}  // namespace fireflyspar::proxy
