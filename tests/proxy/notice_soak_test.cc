// A soak of what servers say of themselves: limits that change, leaving, new
// starts of the server, restarts of the gate with and without the store, and
// late reports, in series that overlap, while several routers go on offering.
//
// FIREFLYSPAR_SOAK_SEEDS=FIRST-LAST runs other seeds than CI does.
#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "../soak_seeds.h"
#include "notice_server.h"
#include "proxy/notice_book.h"

namespace fireflyspar::proxy {
namespace {

using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

constexpr milliseconds kDuration{3000};
constexpr milliseconds kBetweenOffers{3};
constexpr milliseconds kWindow{1000};

// How long after a router has passed on a limit the limit binds its requests.
constexpr milliseconds kNoticeTime{500};

// A router, as far as it remembers notices.
struct remembering_router {
  notice_book book;
  // When it first passed on a limit that is still named; none: it did not.
  std::optional<steady::time_point> passed_limit_at;
  // By start of the server, when it passed on that the server leaves.
  std::map<std::int64_t, steady::time_point> passed_leaving_at;
};

struct offered_request {
  std::size_t router = 0;
  steady::time_point at;
};

// A span in which the server names the same limit, or none.
struct limit_span {
  steady::time_point from;
  std::optional<double> per_second;
};

class notice_soak {
 public:
  explicit notice_soak(std::uint64_t seed)
      : random_(base::SeededRandom(seed)) {}

  void Run() {
    limits_.push_back({.from = steady::now()});
    const auto end = steady::now() + kDuration;
    auto next_event = steady::now();
    while (steady::now() < end) {
      if (steady::now() >= next_event) {
        CauseEvent();
        next_event = steady::now() + milliseconds(50 + random_() % 400);
      }
      OfferOne();
      server_.RunFor(kBetweenOffers);
    }
    while (unfinished_ > 0) server_.RunFor(kBetweenOffers);
  }

  // Returns the arrivals that were offered after their router had passed on
  // that this start of the server leaves.
  std::size_t ArrivalsAfterLeaving() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(server_.Arrivals(), [this](const auto& each) {
          const offered_request& offered = offered_.at(each.request_id);
          const auto& passed = routers_[offered.router].passed_leaving_at;
          const auto found = passed.find(each.start_ms);
          return found != passed.end() && offered.at > found->second;
        }));
  }

  // Returns by how much the worst window exceeds what the limits allow.
  double WorstExcess() const {
    double worst = 0;
    const auto& all = server_.Arrivals();
    for (auto first = all.begin(); first != all.end(); ++first) {
      const auto allowed = AllowedFrom(first->at);
      if (!allowed) continue;
      const auto count = std::count_if(first, all.end(), [&](const auto& each) {
        return each.at < first->at + kWindow &&
               bound_.contains(each.request_id);
      });
      worst = std::max(worst, static_cast<double>(count) - *allowed);
    }
    return worst;
  }

 private:
  void CauseEvent() {
    switch (random_() % 6) {
      case 0:
      case 1:
        SetLimit(static_cast<double>(random_() % 300) / 10);
        break;
      case 2:
        SetLimit(std::nullopt);
        break;
      case 3:
        server_.RestartGate(random_() % 2 == 0);
        break;
      case 4:
        said_.leaving = "1";
        server_.Say(said_);
        break;
      default:
        if (said_.leaving.empty()) {
          server_.Report();
        } else {
          said_.leaving.clear();
          SetLimit(std::nullopt);
          server_.RestartServer();
        }
    }
  }

  void SetLimit(std::optional<double> per_second) {
    said_.limit = per_second ? std::to_string(*per_second) : "";
    server_.Say(said_);
    limits_.push_back({.from = steady::now(), .per_second = per_second});
    if (per_second) return;
    for (remembering_router& each : routers_) each.passed_limit_at.reset();
  }

  void OfferOne() {
    const std::size_t chosen = random_() % routers_.size();
    remembering_router& router = routers_[chosen];
    const decisions::server_entry entry{.instance = "n1",
                                        .server = server_.Info()};
    if (router.book.IsLeaving(entry)) return;
    const std::string id = std::to_string(++last_id_);
    const auto now = steady::now();
    offered_[id] = {.router = chosen, .at = now};
    const bool is_bound =
        router.passed_limit_at && now >= *router.passed_limit_at + kNoticeTime;
    if (is_bound) bound_[id] = true;
    call_offer offer = notice_server::MakeOffer();
    offer.told = router.book.Find(entry);
    ++unfinished_;
    server_.BeginOffer(offer, id, [this, &router](const gate_outcome& ended) {
      --unfinished_;
      OnEnd(router, ended);
    });
  }

  void OnEnd(remembering_router& router, const gate_outcome& ended) {
    if (!ended.status) return;
    router.book.Put("n1", ended.status->told);
    if (ended.end != gate_outcome_kind::kAnswered) return;
    const auto now = steady::now();
    const bool names_limit =
        !backend_servers::HeaderOf(ended.answer, "Server-Limit").empty();
    if (names_limit && limits_.back().per_second && !router.passed_limit_at) {
      router.passed_limit_at = now;
    }
    const bool is_leaving =
        !backend_servers::HeaderOf(ended.answer, "Server-Leaving").empty();
    if (is_leaving && ended.status->told) {
      router.passed_leaving_at.try_emplace(ended.status->told->start_ms, now);
    }
  }

  // Returns what the limits allow in the window; nothing if there was none in
  // a part of it.
  std::optional<double> AllowedFrom(steady::time_point from) const {
    double allowed = 5;
    const auto until = from + kWindow;
    for (std::size_t i = 0; i < limits_.size(); ++i) {
      const auto begin = std::max(from, limits_[i].from);
      const auto end =
          i + 1 < limits_.size() ? std::min(until, limits_[i + 1].from) : until;
      if (begin >= end) continue;
      if (!limits_[i].per_second) return std::nullopt;
      allowed += 1.5 * *limits_[i].per_second *
                 std::chrono::duration<double>(end - begin).count();
    }
    return allowed;
  }

  base::random_hook random_;
  notice_texts said_;
  notice_server server_{notice_texts{}};
  std::array<remembering_router, 3> routers_;
  std::vector<limit_span> limits_;
  std::map<std::string, offered_request> offered_;  // By request id.
  // The requests that were sent when their router had to know the limit.
  std::map<std::string, bool> bound_;
  int last_id_ = 0;
  int unfinished_ = 0;
};

// Guards against LIMIT and DRAIN: what a server says in its answers is not
// kept, or not any more after restarts.
TEST_CASE("servers' notices hold through restarts and changes") {
  const auto [first, last] = tests::SoakSeeds({.first = 1, .last = 8});
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    CAPTURE(seed);
    notice_soak soak(seed);
    soak.Run();
    CHECK(soak.ArrivalsAfterLeaving() == 0);
    CHECK(soak.WorstExcess() <= 0);
  }
}

}  // namespace
}  // namespace fireflyspar::proxy
