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

std::chrono::seconds MoveLengthForRate(double calls_per_second) {
  if (calls_per_second < 10) return seconds(1200);
  if (calls_per_second < 100) return seconds(600);
  if (calls_per_second < 1000) return seconds(300);
  return seconds(120);
}

std::optional<double> MinCallsToDetect(const version_kind& kind) {
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
                              .complete_by = kStart + options.length};
  simulated_service service(options.kind, value, options.calls_per_second,
                            options.seed);
  const move_strategy under_test =
      options.factory.make({.value = value, .seed = options.seed});
  split_mix random(options.seed ^ 0xCA115U);

  move_run run;
  std::array<double, kNodes> shares{};
  for (base::instant now = kStart; now < value.complete_by + kGrace;
       now += kSlice) {
    for (std::size_t node = 0; node < kNodes; ++node) {
      shares[node] = under_test.share(node, now);
    }
    const double share =
        std::accumulate(shares.begin(), shares.end(), 0.0) / kNodes;
    const int arrivals = service.Arrivals(now, kSlice);
    for (int call = 0; call < arrivals; ++call) {
      const std::size_t node = random.Below(kNodes);
      const bool to_new = random.Unit() < shares[node];
      const bool is_after_onset = service.FaultOnset().has_value();
      under_test.record(node, service.Run(to_new, share, now), now);
      if (to_new) {
        ++(is_after_onset ? run.calls_after_onset : run.calls_before_onset);
      }
      if (is_after_onset) ++run.all_calls_after_onset;
    }
    if (service.FaultOnset() && !run.fault_appeared) {
      run.fault_appeared = true;
      run.share_at_onset = share;
    }
    under_test.step(now);
    const move_end_times end_times = under_test.end_times();
    const bool is_zero =
        std::ranges::all_of(shares, [](double given) { return given <= 0; });
    if (end_times.rolled_back_at && is_zero) {
      if (run.fault_appeared) {
        run.zero_share_delay_seconds = Seconds(now - *service.FaultOnset());
      }
      break;
    }
    if (end_times.done_at && now >= *end_times.done_at &&
        !options.kind.is_bad) {
      break;
    }
  }
  const move_end_times end_times = under_test.end_times();
  run.is_done_in_time =
      end_times.done_at && *end_times.done_at <= value.complete_by;
  run.is_rolled_back = end_times.rolled_back_at && !end_times.done_at;
  if (run.is_rolled_back && run.fault_appeared) {
    run.rollback_delay_seconds =
        Seconds(*end_times.rolled_back_at - *service.FaultOnset());
  }
  return run;
}

}  // namespace fireflyspar::lab
