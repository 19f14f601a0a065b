#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <numeric>

#include "lab/move_experiment.h"

namespace fireflyspar::lab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::instant kStart{seconds(1'800'000'000)};
constexpr base::duration kSlice = milliseconds(50);
constexpr base::duration kGrace = seconds(30);  // Simulated after the deadline.

double Seconds(base::duration value) {
  return std::chrono::duration<double>(value).count();
}

}  // namespace

std::chrono::seconds LengthAt(double calls_per_second) {
  if (calls_per_second < 10) return seconds(1200);
  if (calls_per_second < 100) return seconds(600);
  if (calls_per_second < 1000) return seconds(300);
  return seconds(120);
}

std::optional<double> LeastCallsToTell(const version_kind& kind) {
  if (!kind.is_bad) return std::nullopt;
  constexpr double kBudget = 0.004;
  constexpr double kSigma = 0.5;  // Of the simulated latencies' logarithm.
  constexpr double kQuantile95 = 1.645;  // Of the standard normal distribution.
  constexpr double kGreatest = 0.999;
  const double tail =
      std::erfc((kQuantile95 - std::log(kind.slowdown) / kSigma) /
                std::sqrt(2.0)) /
      2;
  const bool is_slow = kind.slowdown > 1;
  const double p0 = is_slow ? 0.05 : 0.005;
  const double p1 = std::min(is_slow ? tail : kind.failure_rate, kGreatest);
  const double gain =
      p1 * std::log(p1 / p0) + (1 - p1) * std::log((1 - p1) / (1 - p0));
  const double calls = -std::log(kBudget) / gain;
  constexpr double kRarestRoute = 0.1;
  return std::max(1.0, kind.is_single_route ? calls / kRarestRoute : calls);
}

move_run RunOneMove(const move_run_options& options) {
  const decisions::move value{.id = "m",
                              .service = "history",
                              .old_version = "1",
                              .new_version = "2",
                              .start = kStart,
                              .by = kStart + options.length};
  move_world world(options.kind, value, options.calls_per_second, options.seed);
  const contender under_test =
      options.contender.make({.value = value, .seed = options.seed});
  split_mix random(options.seed ^ 0xCA115U);

  move_run run;
  std::array<double, kNodes> shares{};
  for (base::instant now = kStart; now < value.by + kGrace; now += kSlice) {
    for (std::size_t node = 0; node < kNodes; ++node) {
      shares[node] = under_test.share(node, now);
    }
    const double share =
        std::accumulate(shares.begin(), shares.end(), 0.0) / kNodes;
    const int arrivals = world.Arrivals(now, kSlice);
    for (int call = 0; call < arrivals; ++call) {
      const std::size_t node = random.Below(kNodes);
      const bool to_new = random.Unit() < shares[node];
      const bool had_shown = world.ShownAt().has_value();
      under_test.record(node, world.Run(to_new, share, now), now);
      if (to_new) ++(had_shown ? run.calls_after : run.calls_before);
      if (had_shown) ++run.all_calls_after;
    }
    if (world.ShownAt() && !run.has_shown) {
      run.has_shown = true;
      run.share_when_shown = share;
    }
    under_test.step(now);
    const move_fate fate = under_test.fate();
    const bool is_zero =
        std::ranges::all_of(shares, [](double given) { return given <= 0; });
    if (fate.taken_back_at && is_zero) {
      if (run.has_shown) run.zero_after = Seconds(now - *world.ShownAt());
      break;
    }
    if (fate.done_at && now >= *fate.done_at && !options.kind.is_bad) break;
  }
  const move_fate fate = under_test.fate();
  run.is_done_in_time = fate.done_at && *fate.done_at <= value.by;
  run.is_taken_back = fate.taken_back_at && !fate.done_at;
  if (run.is_taken_back && run.has_shown) {
    run.verdict_after = Seconds(*fate.taken_back_at - *world.ShownAt());
  }
  return run;
}

}  // namespace fireflyspar::lab
