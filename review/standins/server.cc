#include "server.h"

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <thread>

namespace fireflyspar::review {
namespace {

using nlohmann::json;

constexpr milliseconds kIdleTime{10'000};
constexpr milliseconds kHeartbeat{1500};
constexpr milliseconds kReportTimeout{1000};
constexpr milliseconds kDefaultDeadline{2000};

message NotExecuted(int status) {
  message made = MakeResponse(status);
  made.headers.emplace_back("Not-Executed", "1");
  return made;
}

}  // namespace

app_server::app_server(server_options options)
    : options_(std::move(options)),
      start_ms_(std::chrono::duration_cast<milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count()) {}

void app_server::Start() {
  Listen(options_.address, [this](const connection_ptr& from) { Serve(from); });
  std::thread([this] { Report(); }).detach();
}

void app_server::Serve(const connection_ptr& from) {
  for (;;) {
    const auto request = from->Read(steady::now() + kIdleTime);
    if (!request) break;
    const int position = CountArrival();
    message answer = Answer(*request);
    const std::string id = request->Header("Request-Id");
    if (!id.empty()) answer.headers.emplace_back("Request-Id", id);
    const std::string bytes = ToBytes(answer);
    if (!from->Write(bytes)) break;
    const milliseconds delay = options_.copy_delay(answer.Status(), position);
    if (delay.count() == 0) continue;
    options_.log->Note("server " + options_.id + " sends a second copy of " +
                       std::to_string(answer.Status()) + " for " + id + " in " +
                       std::to_string(delay.count()) + " ms");
    SendCopyLater(from, bytes, delay);
  }
  from->Shut();
}

int app_server::CountArrival() {
  const std::scoped_lock lock(mutex_);
  const bool is_idle = running_ == 0 && waiting_ == 0;
  since_idle_ = is_idle ? 1 : since_idle_ + 1;
  return since_idle_;
}

void app_server::SendCopyLater(const connection_ptr& to, std::string bytes,
                               milliseconds delay) {
  std::thread([to, bytes = std::move(bytes), delay] {
    std::this_thread::sleep_for(delay);
    if (to->IsOpen()) to->Write(bytes);
  }).detach();
}

message app_server::Answer(const message& request) {
  if (request.Target() == "/healthz") {
    message healthy = MakeResponse(200);
    healthy.headers.emplace_back("Instance-Id", options_.id);
    healthy.headers.emplace_back("Cold-Ms",
                                 std::to_string(options_.cold_left().count()));
    return healthy;
  }
  const std::string expected = request.Header("Expect-Instance");
  if (!expected.empty() && expected != options_.id) {
    message misdirected = MakeResponse(421);
    misdirected.headers.emplace_back("Instance-Id", options_.id);
    return misdirected;
  }
  const std::string id = request.Header("Request-Id");
  if (id.empty()) return NotExecuted(400);
  options_.log->Add(fact_kind::kArrived, id, options_.id);
  if (options_.refuses(id)) return NotExecuted(503);
  return Run(request);
}

message app_server::Run(const message& request) {
  const std::string left = request.Header("Deadline-Ms");
  const auto deadline =
      steady::now() + (left.empty() ? kDefaultDeadline
                                    : milliseconds(std::atoll(left.c_str())));
  {
    std::unique_lock lock(mutex_);
    if (running_ >= options_.slots && waiting_ >= options_.queue) {
      return NotExecuted(503);
    }
    ++waiting_;
    const bool has_slot = slot_is_free_.wait_until(
        lock, deadline, [this] { return running_ < options_.slots; });
    --waiting_;
    if (!has_slot) return NotExecuted(503);
    ++running_;
  }
  const std::string id = request.Header("Request-Id");
  options_.log->Add(fact_kind::kRun, id,
                    options_.id + " for " + request.Header("Tenant"));
  std::this_thread::sleep_until(
      std::min(deadline, steady::now() + options_.work_of(id)));
  {
    const std::scoped_lock lock(mutex_);
    --running_;
  }
  slot_is_free_.notify_one();
  const bool is_late = steady::now() >= deadline;
  message answer =
      MakeResponse(is_late ? 504 : 200, "done by " + options_.id + ": " + id);
  answer.headers.emplace_back("Response-Stamp", options_.id + "." + id);
  return answer;
}

void app_server::Report() {
  std::this_thread::sleep_for(options_.starts_after);
  for (int sequence = 1;; ++sequence) {
    const json report = {
        {"address", options_.address.ToText()},
        {"born", start_ms_},
        {"info",
         {{"service", options_.service},
          {"version", "v1"},
          {"zone", options_.zone},
          {"slots", options_.slots}}},
        {"status",
         {{"state", "ready"},
          {"seq", sequence},
          {"cold_left", std::to_string(options_.cold_left().count()) + "ms"}}}};
    message request;
    request.first_line =
        "POST /instances/" + options_.id + "/heartbeat HTTP/1.1";
    request.headers = {{"Host", options_.control.ToText()},
                       {"Content-Type", "application/cbor"},
                       {"Connection", "close"}};
    json::to_cbor(report, request.body);
    Ask(options_.control, request, kReportTimeout);
    std::this_thread::sleep_for(kHeartbeat);
  }
}

}  // namespace fireflyspar::review
