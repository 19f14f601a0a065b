// A peer refuses some requests, runs others, and sends late copies of its
// answers, whole or cut. Seeded schedules check that no answer is taken for
// another run of its request, whatever the order: a refusal that says "not run"
// for a run that began would have the caller repeat it.
// clang-format off: this Asio uses std::exchange without including <utility>.
#include <utility>
// clang-format on

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "../soak_seeds.h"
#include "scripted_peer.h"

namespace fireflyspar::backend_servers {
namespace {

using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

constexpr char kIdHeader[] = "Request-Id";

// The ids that callers use again and again, and the callers at work at once.
constexpr int kIds = 6;
constexpr int kCallers = 4;
constexpr int kRunsPerCaller = 60;

constexpr milliseconds kDeadline{60};
constexpr int kMaxWorkMs = 4;
constexpr int kMaxDelayMs = 12;

// How likely the peer refuses a request, sends a copy of an answer, and cuts
// the copy off; and how likely an answer has no id.
constexpr double kRefusedShare = 0.5;
constexpr double kCopiedShare = 0.5;
constexpr double kCutShare = 0.1;
constexpr double kWithoutIdShare = 0.05;

constexpr std::array kRefusals = {503, 429, 421, 400};
constexpr std::array kOutcomes = {200, 200, 500, 504};

// Each request has a number of its own in its target, which the peer puts into
// the answer's body: so the test tells apart the runs of one id.
class copying_peer {
 public:
  copying_peer(net::io_context& loop, unsigned seed)
      : loop_(loop),
        random_(seed),
        peer_(loop, [this](tcp::socket&, const peer_request& request) {
          return Answer(request);
        }) {}

  base::address Address() const { return peer_.Address(); }
  bool HasRun(const std::string& number) const { return ran_.contains(number); }
  void Close() { peer_.Close(); }

 private:
  bool Draws(double share) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
  }
  template <typename Values>
  int Choose(const Values& values) {
    return values[random_() % values.size()];
  }
  milliseconds Delay(int max_ms) {
    return milliseconds(random_() % static_cast<unsigned>(max_ms + 1));
  }

  net::awaitable<void> Pause(milliseconds span) {
    net::steady_timer timer(loop_, span);
    co_await timer.async_wait(net::use_awaitable);
  }

  net::awaitable<void> Answer(peer_request request) {
    const std::string number = request.target.substr(1);
    const bool refuses = Draws(kRefusedShare);
    if (!refuses) {
      ran_.insert(number);
      co_await Pause(Delay(kMaxWorkMs));
    }
    const std::string body =
        (refuses ? "refused " : "ran ") + number + std::string(40, '.');
    const int status = refuses ? Choose(kRefusals) : Choose(kOutcomes);
    Write(*request.from, Encode(status, request.id, body));
    if (!Draws(kCopiedShare)) co_return;
    std::string copy = Encode(status, request.id, body);
    if (Draws(kCutShare)) copy.resize(random_() % copy.size());
    net::co_spawn(loop_, SendCopy(request.from, copy), net::detached);
  }

  // Returns the answer's bytes, sometimes without the id.
  std::string Encode(int status, const std::string& id,
                     const std::string& body) {
    const std::string echo =
        Draws(kWithoutIdShare) ? "" : "Request-Id: " + id + "\r\n";
    return "HTTP/1.1 " + std::to_string(status) + " Any\r\n" + echo +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  net::awaitable<void> SendCopy(std::shared_ptr<tcp::socket> to,
                                std::string bytes) {
    co_await Pause(Delay(kMaxDelayMs));
    Write(*to, bytes);
  }

  // Writes without a wait, so that no two writes mix.
  static void Write(tcp::socket& to, const std::string& bytes) {
    boost::system::error_code ignored;
    net::write(to, net::buffer(bytes), ignored);
  }

  net::io_context& loop_;
  std::mt19937 random_;
  std::set<std::string> ran_;
  scripted_peer peer_;
};

struct run_result {
  std::string number;
  exchange_result ended;
};

class repeating_callers {
 public:
  repeating_callers(net::io_context& loop, base::address to, unsigned seed)
      : to_(std::move(to)), random_(seed), pool_(loop.get_executor()) {
    for (int caller = 0; caller < kCallers; ++caller) {
      net::co_spawn(loop, Call(),
                    [this](const std::exception_ptr&) { ++ended_callers_; });
    }
  }

  bool HasEnded() const { return ended_callers_ == kCallers; }
  std::vector<run_result> TakeResults() { return std::move(results_); }

 private:
  net::awaitable<void> Call() {
    for (int run = 0; run < kRunsPerCaller; ++run) {
      const std::string number = std::to_string(++last_number_);
      http_request request(http::verb::get, "/" + number, 11);
      request.set(kIdHeader, "id-" + std::to_string(random_() % kIds));
      exchange_options options;
      options.to = to_;
      options.deadline = steady::now() + kDeadline;
      options.correlation_header = kIdHeader;
      options.accepts_close_delimited = true;
      cancellation never;
      exchange_result ended = co_await Exchange(pool_, options, request, never);
      results_.push_back({.number = number, .ended = std::move(ended)});
    }
  }

  base::address to_;
  std::mt19937 random_;
  connection_pool pool_;
  int last_number_ = 0;
  int ended_callers_ = 0;
  std::vector<run_result> results_;
};

// Guards against "not run" for a request that runs, and against the answer to
// another run: late copies of answers, among requests that come back.
TEST_CASE("no late copy is taken for the answer to another run") {
  const tests::seed_range seeds = tests::SoakSeeds({.first = 1, .last = 20});
  for (auto seed = seeds.first; seed <= seeds.last; ++seed) {
    CAPTURE(seed);
    net::io_context loop;
    copying_peer peer(loop, static_cast<unsigned>(seed));
    std::optional<repeating_callers> callers;
    callers.emplace(loop, peer.Address(), static_cast<unsigned>(seed) + 1);
    while (!callers->HasEnded()) loop.run_one();
    const std::vector<run_result> results = callers->TakeResults();
    callers.reset();
    peer.Close();
    loop.restart();
    loop.run();
    int answered = 0;
    for (const run_result& each : results) {
      if (each.ended.end != exchange_outcome::kAnswered) continue;
      ++answered;
      const std::string told =
          (peer.HasRun(each.number) ? "ran " : "refused ") + each.number + ".";
      CHECK(each.ended.answer.body().starts_with(told));
    }
    CHECK(answered > 0);
  }
}

}  // namespace
}  // namespace fireflyspar::backend_servers
