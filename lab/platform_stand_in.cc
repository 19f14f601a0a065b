#include "lab/platform_stand_in.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <iterator>
#include <list>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>
#include <vector>

#include "base/utf8.h"
#include "callers/http_service.h"
#include "lab/held_call.h"
#include "lab/platform_http.h"
#include "lab/platform_store.h"

namespace fireflyspar::lab {
namespace {

using backend_servers::http_request;
using backend_servers::http_response;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
namespace http = backend_servers::http;
namespace net = boost::asio;

constexpr std::string_view kObjectPath = "/objects/";
constexpr milliseconds kMaxWatchWait{120'000};

constexpr int kWorkers = 2;

struct pending_watch {
  held_call_ptr call;
  std::string prefix;
  std::uint64_t after = 0;
};

// Limits the calls per second, by a token bucket that holds one second's calls.
class rate_limiter {
 public:
  bool TryAcquire(int per_second) {
    if (per_second == 0) return true;
    if (per_second < 0) return false;
    const auto now = steady_clock::now();
    const double elapsed =
        std::chrono::duration<double>(now - refilled_at_).count();
    tokens_ = std::min<double>(per_second, tokens_ + elapsed * per_second);
    refilled_at_ = now;
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  double tokens_ = 0;
  steady_clock::time_point refilled_at_;
};

}  // namespace

class platform_stand_in::state {
 public:
  explicit state(platform_stand_in_options options)
      : address_(std::move(options.address)), faults_(options.faults) {}

  base::status Start() {
    const base::status opened = Open();
    if (opened) timer_ = std::thread([this] { RunTimer(); });
    return opened;
  }

  void Stop() {
    {
      const std::lock_guard lock(mutex_);
      if (stopping_) return;
      stopping_ = true;
    }
    timer_wakeup_.notify_all();
    if (timer_.joinable()) timer_.join();
    Close();
  }

  base::address Address() const { return address_; }

  void SetFaults(const platform_faults& faults) {
    std::vector<held_call_ptr> unanswered;
    {
      const std::lock_guard lock(mutex_);
      faults_ = faults;
      unanswered.swap(unanswered_calls_);
      if (faults.refuse_ms > 0) {
        const auto now = steady_clock::now();
        scheduled_actions_.emplace(now, [this] { Close(); });
        scheduled_actions_.emplace(now + milliseconds{faults.refuse_ms},
                                   [this] { Open(); });
      }
    }
    timer_wakeup_.notify_all();
    AnswerAll(unanswered);
  }

  platform_stats Stats() const {
    const std::lock_guard lock(mutex_);
    return stats_;
  }

 private:
  base::status Open() {
    auto service =
        std::make_unique<callers::http_service>(callers::http_service_options{
            .workers = kWorkers,
            .listener = {.address = address_,
                         .handler = [this](callers::incoming_request& call) {
                           return Handle(call);
                         }}});
    SetOpen(true);
    base::status started = service->Start();
    if (!started) {
      SetOpen(false);
      return started;
    }
    if (address_.port == 0) address_ = service->Address();
    service_ = std::move(service);
    return started;
  }

  void SetOpen(bool is_open) {
    const std::lock_guard lock(mutex_);
    is_open_ = is_open;
  }

  // Stops listening. All waiting calls are answered first, and those that still
  // arrive at once, so that none is left open.
  void Close() {
    std::vector<held_call_ptr> waiting;
    {
      const std::lock_guard lock(mutex_);
      is_open_ = false;
      waiting.swap(unanswered_calls_);
      std::ranges::transform(pending_watches_, std::back_inserter(waiting),
                             &registered_watch::call);
      pending_watches_.clear();
    }
    AnswerAll(waiting);
    service_.reset();
  }

  static void AnswerAll(const std::vector<held_call_ptr>& calls) {
    std::ranges::for_each(calls, [](const held_call_ptr& each) {
      each->Answer(ErrorAnswer(http::status::service_unavailable, "stopped"));
    });
  }

  // Runs actions when they are due: delayed answers, timeouts of watches, and
  // closing and reopening the listener. Stop runs all remaining actions.
  void RunTimer() {
    std::unique_lock lock(mutex_);
    while (!stopping_) {
      if (scheduled_actions_.empty()) {
        timer_wakeup_.wait(lock);
        continue;
      }
      const auto first = scheduled_actions_.begin();
      if (first->first > steady_clock::now()) {
        timer_wakeup_.wait_until(lock, first->first);
        continue;
      }
      const auto action = std::move(first->second);
      scheduled_actions_.erase(first);
      lock.unlock();
      action();
      lock.lock();
    }
    auto rest = std::move(scheduled_actions_);
    lock.unlock();
    std::ranges::for_each(rest, [](const auto& each) { each.second(); });
  }

  net::awaitable<http_response> Handle(callers::incoming_request& incoming) {
    const auto call = std::make_shared<held_call>(std::move(incoming.request));
    // Nobody reads the answer of a caller that has gone.
    incoming.cancel->OnCancel([call] {
      call->Answer(ErrorAnswer(http::status::service_unavailable, "gone"));
    });
    try {
      Dispatch(call);
    } catch (const std::exception& error) {
      call->Answer(ErrorAnswer(http::status::bad_request, error.what()));
    }
    co_return ToHttp(co_await call->Wait());
  }

  void Dispatch(const held_call_ptr& call) {
    const std::string path = PathOf(call->Request());
    if (path == "/faults" && call->Request().method() == http::verb::post) {
      HandleFaults(call);
    } else if (path == "/stats") {
      call->Answer({.body = StatsText()});
    } else {
      HandleCall(call, path);
    }
  }

  void HandleFaults(const held_call_ptr& call) {
    const auto faults = ParseFaults(call->Request().body());
    call->Answer(faults ? answer{}
                        : ErrorAnswer(http::status::bad_request,
                                      faults.Failure().detail));
    if (faults) SetFaults(*faults);
  }

  void HandleCall(const held_call_ptr& call, const std::string& path) {
    const std::lock_guard lock(mutex_);
    const http_request& request = call->Request();
    if (!is_open_) {
      AnswerAll({call});
      return;
    }
    CountCall(request, path);
    if (faults_.hang) {
      unanswered_calls_.push_back(call);
      return;
    }
    if (faults_.down) {
      Reply(call, ErrorAnswer(http::status::service_unavailable, "down"));
      return;
    }
    const bool is_write = request.method() != http::verb::get;
    if (!(is_write ? writes_.TryAcquire(faults_.writes_per_second)
                   : reads_.TryAcquire(faults_.reads_per_second))) {
      ++stats_.rate_limited;
      Reply(call, ErrorAnswer(http::status::too_many_requests, "over rate"));
      return;
    }
    if (path == "/watch") {
      HandleWatch(call);
      return;
    }
    const answer made = is_write ? Write(request, path) : Read(request, path);
    const bool effective = made.status == http::status::ok;
    if (is_write && effective && faults_.lose_answers > 0) {
      --faults_.lose_answers;
      unanswered_calls_.push_back(call);
    } else {
      Reply(call, made);
    }
    if (is_write && effective) AnswerChangedWatches();
  }

  void CountCall(const http_request& request, const std::string& path) {
    const std::string kind = path == "/watch"                      ? "watch"
                             : path == "/objects"                  ? "list"
                             : request.method() == http::verb::get ? "get"
                             : request.method() == http::verb::put ? "put"
                                                                   : "remove";
    ++stats_.calls[kind];
    stats_.bytes_in += static_cast<std::int64_t>(request.body().size());
    const auto now = steady_clock::now();
    if (now - window_start_ >= std::chrono::seconds{1}) {
      window_start_ = now;
      calls_in_window_ = 0;
    }
    stats_.peak_calls_in_a_second =
        std::max(stats_.peak_calls_in_a_second, ++calls_in_window_);
  }

  answer Read(const http_request& request, const std::string& path) const {
    if (path == "/objects") {
      return {.body =
                  DumpJson(ToJson(store_.List(QueryValue(request, "prefix"))))};
    }
    if (!path.starts_with(kObjectPath)) {
      return ErrorAnswer(http::status::not_found, "no such path");
    }
    const auto found = store_.Get(path.substr(kObjectPath.size()));
    if (found.version == 0) {
      return ErrorAnswer(http::status::not_found, "no such object");
    }
    return {.body = DumpJson(ToJson(found))};
  }

  answer Write(const http_request& request, const std::string& path) {
    if (!path.starts_with(kObjectPath)) {
      return ErrorAnswer(http::status::not_found, "no such path");
    }
    const std::string& body = request.body();
    if (body.size() > kMaxValueBytes) {
      return ErrorAnswer(http::status::payload_too_large, "too large");
    }
    if (!base::IsUtf8(body)) {
      return ErrorAnswer(http::status::bad_request, "value is not UTF-8");
    }
    const std::string key = path.substr(kObjectPath.size());
    const std::uint64_t version = request.method() == http::verb::put
                                      ? store_.Put(key, body, IfMatch(request))
                                      : store_.Remove(key, IfMatch(request));
    if (version == 0) return Conflict(request, key);
    return {.body = DumpJson({{"version", version}})};
  }

  answer Conflict(const http_request& request, const std::string& key) {
    const std::uint64_t current = store_.Get(key).version;
    if (current == 0 && request.method() == http::verb::delete_) {
      return ErrorAnswer(http::status::not_found, "no such object");
    }
    ++stats_.conflicts;
    return {.status = http::status::conflict,
            .body = DumpJson({{"error", "conflict"}, {"version", current}})};
  }

  void HandleWatch(const held_call_ptr& call) {
    const http_request& request = call->Request();
    pending_watch watch{.call = call,
                        .prefix = QueryValue(request, "prefix"),
                        .after = NumberOf(QueryValue(request, "after"))};
    const auto changed = store_.ChangedAfter(watch.prefix, watch.after);
    if (!changed.empty()) {
      Reply(call, WatchAnswer(watch));
      return;
    }
    const milliseconds wait = std::min(
        kMaxWatchWait, milliseconds(NumberOf(QueryValue(request, "wait_ms"))));
    const auto entry =
        pending_watches_.emplace(pending_watches_.end(), std::move(watch));
    const std::uint64_t id = ++last_watch_id_;
    entry->id = id;
    scheduled_actions_.emplace(steady_clock::now() + wait,
                               [this, id] { ExpireWatch(id); });
    timer_wakeup_.notify_all();
  }

  void ExpireWatch(std::uint64_t id) {
    const std::lock_guard lock(mutex_);
    const auto entry =
        std::ranges::find(pending_watches_, id, &registered_watch::id);
    if (entry == pending_watches_.end()) return;
    Reply(entry->call,
          {.body = DumpJson(ToJson(std::vector<platform::object>{}))});
    pending_watches_.erase(entry);
  }

  void AnswerChangedWatches() {
    std::erase_if(pending_watches_, [this](const registered_watch& each) {
      if (store_.ChangedAfter(each.prefix, each.after).empty()) return false;
      Reply(each.call, WatchAnswer(each));
      return true;
    });
  }

  answer WatchAnswer(const pending_watch& watch) {
    auto objects = faults_.stale_watch
                       ? store_.StaleChangedAfter(watch.prefix, watch.after)
                       : store_.ChangedAfter(watch.prefix, watch.after);
    if (!faults_.reordered_watch) return {.body = DumpJson(ToJson(objects))};
    repeat_previous_ = !repeat_previous_;
    if (repeat_previous_ && !previous_watch_objects_.empty()) {
      return {.body = DumpJson(ToJson(previous_watch_objects_))};
    }
    previous_watch_objects_ = objects;
    std::ranges::reverse(objects);
    std::ranges::copy(previous_watch_objects_, std::back_inserter(objects));
    return {.body = DumpJson(ToJson(objects))};
  }

  // Answers the call, after the delay if there is one. Called under the lock.
  void Reply(const held_call_ptr& call, const answer& made) {
    stats_.bytes_out += static_cast<std::int64_t>(made.body.size());
    if (faults_.slow_ms == 0) {
      call->Answer(made);
      return;
    }
    scheduled_actions_.emplace(
        steady_clock::now() + milliseconds{faults_.slow_ms},
        [call, made] { call->Answer(made); });
    timer_wakeup_.notify_all();
  }

  std::string StatsText() const {
    const platform_stats stats = Stats();
    return DumpJson({{"calls", stats.calls},
                     {"bytes_in", stats.bytes_in},
                     {"bytes_out", stats.bytes_out},
                     {"conflicts", stats.conflicts},
                     {"over_rate", stats.rate_limited},
                     {"peak_calls_in_a_second", stats.peak_calls_in_a_second}});
  }

  struct registered_watch : pending_watch {
    explicit registered_watch(pending_watch watch)
        : pending_watch(std::move(watch)) {}
    std::uint64_t id = 0;
  };

  base::address address_;
  std::unique_ptr<callers::http_service> service_;
  std::thread timer_;

  mutable std::mutex mutex_;  // Protects all members below.
  std::condition_variable timer_wakeup_;
  bool stopping_ = false;
  bool is_open_ = false;
  platform_faults faults_;
  platform_store store_;
  platform_stats stats_;
  rate_limiter reads_;
  rate_limiter writes_;
  std::list<registered_watch> pending_watches_;
  std::uint64_t last_watch_id_ = 0;
  std::vector<held_call_ptr> unanswered_calls_;
  std::multimap<steady_clock::time_point, std::function<void()>>
      scheduled_actions_;
  std::vector<platform::object> previous_watch_objects_;
  bool repeat_previous_ = false;
  steady_clock::time_point window_start_;
  std::int64_t calls_in_window_ = 0;
};

platform_stand_in::platform_stand_in(platform_stand_in_options options)
    : state_(std::make_unique<state>(std::move(options))) {}

platform_stand_in::~platform_stand_in() { Stop(); }

base::status platform_stand_in::Start() { return state_->Start(); }

void platform_stand_in::Stop() { state_->Stop(); }

base::address platform_stand_in::Address() const { return state_->Address(); }

void platform_stand_in::SetFaults(const platform_faults& faults) {
  state_->SetFaults(faults);
}

platform_stats platform_stand_in::Stats() const { return state_->Stats(); }

}  // namespace fireflyspar::lab
