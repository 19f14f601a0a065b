#include "tests/callers/small_fleet.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <thread>

namespace fireflyspar::callers {
namespace {

using backend_servers::http_request;
using backend_servers::http_response;
using backend_servers::tcp;
namespace net = boost::asio;
namespace http = boost::beast::http;

base::address AnyPort() { return {.ip = "127.0.0.1", .port = 0}; }

}  // namespace

config::preset SmallPreset() {
  using std::chrono::milliseconds;
  return {.name = "test",
          .data_centres = {"north"},
          .services = {{.name = "stock",
                        .versions = {{.version = "v1", .percent = 100}},
                        .timeout = milliseconds(10'000)}},
          .routes = {
              {.name = "stock",
               .path_prefix = "/stock",
               .service = "stock",
               .visible_from = config::visibility::kOutside},
              {.name = "crates", .path_prefix = "/crates", .service = "stock"},
              {.name = "orders",
               .methods = {"POST"},
               .path_prefix = "/orders",
               .service = "stock",
               .visible_from = config::visibility::kOutside,
               .at_most_once = true}}};
}

small_fleet::small_fleet(std::vector<small_node_options> nodes,
                         config::preset preset) {
  auto snapshot = std::make_shared<config::snapshot>();
  snapshot->id = {.version = 1, .hash = "test"};
  snapshot->content = std::move(preset);
  auto view = std::make_shared<decisions::fleet_view>();
  view->configuration = std::move(snapshot);
  view_ = std::move(view);
  for (small_node_options& options : nodes) {
    nodes_.push_back(std::make_unique<node>());
    nodes_.back()->options = std::move(options);
    Start(*nodes_.back());
  }
}

small_fleet::~small_fleet() {
  for (const auto& each : nodes_) {
    if (each->path) each->path.reset();
  }
}

void small_fleet::Start(node& starting) {
  const small_node_options& options = starting.options;
  lab::backend_server_options server_options = options.server;
  if (server_options.name == "server") server_options.name = options.id;
  starting.server = std::make_unique<lab::backend_server>(server_options);
  REQUIRE(starting.server->Start().Ok());
  starting.metrics = std::make_unique<base::metrics>();
  starting.gate =
      std::make_unique<backend_servers::gate>(backend_servers::gate_options{
          .clock = [this] { return clock(); },
          .metrics = starting.metrics.get(),
          .on_change =
              [this, id = options.id](const decisions::server_record& record) {
                Edit([&](decisions::fleet_view& view) {
                  for (decisions::member_record& member : view.members) {
                    if (member.node_id == id) member.server = record;
                  }
                });
              }});
  starting.path = std::make_unique<call_path>(
      call_path_options{.node_id = options.id,
                        .data_centre = options.data_centre,
                        .outside_address = AnyPort(),
                        .inside_address = AnyPort(),
                        .gate_address = AnyPort(),
                        .read_timeout = options.read_timeout,
                        .clock = [this] { return clock(); },
                        .random = base::SystemRandom(),
                        .metrics = starting.metrics.get(),
                        .gate = starting.gate.get(),
                        .view = [this] { return View(); },
                        .on_outcome =
                            [this](const decisions::call_outcome& outcome) {
                              const std::lock_guard lock(mutex_);
                              outcomes_.push_back(outcome);
                            }});
  REQUIRE(starting.path->Start().Ok());
  Edit([&](decisions::fleet_view& view) {
    view.members.push_back({.node_id = options.id,
                            .data_centre = options.data_centre,
                            .gate_address = starting.path->Bound().gate});
  });
  const bool has_given_server = options.server_address.port != 0;
  REQUIRE(
      starting.gate
          ->OnAnnouncement(
              {.server_address = has_given_server ? options.server_address
                                                  : starting.server->Address(),
               .server = {.service = server_options.service,
                          .version = server_options.version,
                          .slots = server_options.slots,
                          .state = decisions::server_state::kServing}})
          .Ok());
}

void small_fleet::Edit(
    const std::function<void(decisions::fleet_view&)>& edit) {
  const std::lock_guard lock(mutex_);
  auto edited = std::make_shared<decisions::fleet_view>(*view_);
  edit(*edited);
  view_ = std::move(edited);
}

decisions::fleet_view_ptr small_fleet::View() const {
  const std::lock_guard lock(mutex_);
  return view_;
}

std::vector<decisions::call_outcome> small_fleet::Outcomes() const {
  const std::lock_guard lock(mutex_);
  return outcomes_;
}

http_response CallOnce(const base::address& to, http_request request) {
  net::io_context loop;
  tcp::socket socket(loop);
  socket.connect(backend_servers::ToEndpoint(to));
  request.set(http::field::host, "test");
  http::write(socket, request);
  boost::beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(backend_servers::kMaxResponseBytes);
  parser.skip(request.method() == http::verb::head);
  http::read(socket, buffer, parser);
  return http_response(parser.release());
}

http_request Get(const std::string& target) {
  return {http::verb::get, target, 11};
}

http_request Post(const std::string& target, const std::string& body) {
  http_request request(http::verb::post, target, 11);
  request.body() = body;
  request.prepare_payload();
  return request;
}

std::string SendBytes(const base::address& to, const std::string& bytes) {
  net::io_context loop;
  tcp::socket socket(loop);
  socket.connect(backend_servers::ToEndpoint(to));
  boost::system::error_code error;
  net::write(socket, net::buffer(bytes), error);
  std::string answer;
  net::read(socket, net::dynamic_buffer(answer), error);
  return answer;
}

bool Eventually(const std::function<bool()>& condition) {
  constexpr std::chrono::seconds kBackstop{20};
  const auto deadline = std::chrono::steady_clock::now() + kBackstop;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return true;
}

}  // namespace fireflyspar::callers
