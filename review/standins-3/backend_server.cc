#include "backend_server.h"

#include <utility>

namespace review {
namespace {

// Servers give an acknowledgement up after a second.
constexpr milliseconds kAckTimeout{1000};

}  // namespace

std::int64_t UnixMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<milliseconds>(now).count();
}

backend_server::backend_server(server_options options)
    : options_(std::move(options)) {
  options_.log->Line("server " + options_.id + " of " + options_.service +
                     " starts, born " + std::to_string(options_.born_ms));
  server_ = std::make_unique<http_server>(
      options_.at, [this](const request& call) { return Serve(call); });
  beating_ = std::thread([this] { Beat(); });
}

backend_server::~backend_server() { Stop(); }

void backend_server::Stop() {
  {
    const std::lock_guard lock(mutex_);
    if (std::exchange(is_stopped_, true)) return;
  }
  wake_.notify_all();
  server_->Stop();
  beating_.join();
  options_.log->Line("server " + options_.id + " ended");
}

request backend_server::ComposeHeartbeat() {
  const std::lock_guard lock(mutex_);
  const json body = {{"born", options_.born_ms},
                     {"address", options_.at.Text()},
                     {"info",
                      {{"service", options_.service},
                       {"version", options_.version},
                       {"zone", options_.zone},
                       {"slots", options_.slots}}},
                     {"status",
                      {{"state", is_draining_ ? "draining" : "ready"},
                       {"seq", ++sequence_},
                       {"cold_left", "0ms"}}}};
  request message(http::verb::post, "/instances/" + options_.id + "/heartbeat",
                  11);
  message.set(http::field::content_type, "application/cbor");
  json::to_cbor(body, message.body());
  return message;
}

bool backend_server::Post(const std::string& what, const request& message) {
  const call_result got = Call(options_.control, message, kAckTimeout);
  const bool is_acknowledged = got.is_answered && got.status / 100 == 2;
  options_.log->Line(
      "server " + options_.id + " " + what + ": " +
      (got.is_answered ? std::to_string(got.status) : got.detail));
  return is_acknowledged;
}

bool backend_server::Deliver(const request& heartbeat) {
  return Post("late heartbeat", heartbeat);
}

bool backend_server::Drain() {
  {
    const std::lock_guard lock(mutex_);
    is_draining_ = true;
  }
  return Post("heartbeat draining", ComposeHeartbeat());
}

bool backend_server::Leave() {
  {
    const std::lock_guard lock(mutex_);
    has_left_ = true;
  }
  const json body = {{"born", options_.born_ms}};
  request message(http::verb::post, "/instances/" + options_.id + "/leave", 11);
  message.set(http::field::content_type, "application/cbor");
  json::to_cbor(body, message.body());
  return Post("leave", message);
}

void backend_server::Beat() {
  std::unique_lock lock(mutex_);
  while (!is_stopped_) {
    if (!has_left_) {
      lock.unlock();
      Post("heartbeat", ComposeHeartbeat());
      lock.lock();
    }
    wake_.wait_for(lock, options_.beat, [this] { return is_stopped_; });
  }
}

std::optional<response> backend_server::Serve(const request& call) {
  const std::string id(call["Request-Id"]);
  const std::string expected(call["Expect-Instance"]);
  const auto answer = [&](unsigned status, bool was_run) {
    response made;
    made.version(11);
    made.result(status);
    if (!id.empty()) made.set("Request-Id", id);
    if (was_run) made.set("Response-Stamp", options_.id + "." + id);
    if (!was_run) made.set("Not-Executed", "1");
    made.body() = was_run ? "ran at " + options_.id : "";
    made.prepare_payload();
    return made;
  };
  if (call.target() == "/healthz") {
    response made(http::status::ok, 11);
    made.set("Instance-Id", options_.id);
    made.prepare_payload();
    return made;
  }
  if (id.empty()) return answer(400, false);
  if (!expected.empty() && expected != options_.id) return answer(421, false);
  const server_run run{.request_id = id,
                       .target = std::string(call.target()),
                       .at = options_.log->Now()};
  options_.log->Line("server " + options_.id + " of " + options_.service +
                     " runs " + id + " " + std::string(call.method_string()) +
                     " " + run.target);
  {
    const std::lock_guard lock(mutex_);
    runs_.push_back(run);
  }
  std::this_thread::sleep_for(options_.work);
  return answer(200, true);
}

std::vector<server_run> backend_server::Runs() {
  const std::lock_guard lock(mutex_);
  return runs_;
}

}  // namespace review
