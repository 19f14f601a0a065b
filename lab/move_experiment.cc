#include "lab/move_experiment.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "base/settings.h"

namespace fireflyspar::lab {
namespace {

using nlohmann::json;

constexpr base::setting kSettings[] = {
    {.name = "seed",
     .kind = base::setting_kind::kNumber,
     .default_text = "1",
     .help = "seed of the first run; each further run adds 1"},
    {.name = "runs",
     .kind = base::setting_kind::kNumber,
     .default_text = "100",
     .help = "simulated moves for each row",
     .min_value = 1,
     .max_value = 1'000'000},
    {.name = "rates",
     .default_text = "1,10,100,2000",
     .help = "calls per second of the service, separated by commas"},
    {.name = "kinds",
     .default_text = "",
     .help = "kinds of version, separated by commas; empty: all"},
    {.name = "contenders",
     .default_text = "",
     .help = "strategies to compare, separated by commas; empty: all"},
    {.name = "threads",
     .kind = base::setting_kind::kNumber,
     .default_text = "3",
     .help = "threads that share the runs",
     .min_value = 1,
     .max_value = 64},
};

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

bool IsChosen(const std::vector<std::string>& chosen, std::string_view name) {
  return chosen.empty() || std::ranges::find(chosen, name) != chosen.end();
}

std::vector<move_run> RunMany(const move_run_options& options,
                              std::int64_t runs, std::int64_t threads) {
  std::vector<move_run> results(static_cast<std::size_t>(runs));
  std::atomic<std::size_t> next = 0;
  const auto work = [&] {
    for (std::size_t i = next++; i < results.size(); i = next++) {
      move_run_options one = options;
      one.seed = (options.seed + i) * 0x9E3779B97F4A7C15U;
      results[i] = RunOneMove(one);
    }
  };
  std::vector<std::jthread> pool;
  pool.reserve(static_cast<std::size_t>(threads));
  for (std::int64_t i = 0; i < threads; ++i) pool.emplace_back(work);
  pool.clear();
  return results;
}

template <typename F>
double PercentOf(const std::vector<move_run>& runs, F holds) {
  constexpr double kPercent = 100;
  return kPercent * static_cast<double>(std::ranges::count_if(runs, holds)) /
         static_cast<double>(runs.size());
}

// Returns the median, the 95th and 99th percentile and the maximum.
json Quantiles(std::vector<double> values) {
  if (values.empty()) return nullptr;
  std::ranges::sort(values);
  const auto at = [&](double quantile) {
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(quantile * last)];
  };
  return {{"p50", at(0.5)},
          {"p95", at(0.95)},
          {"p99", at(0.99)},
          {"max", values.back()}};
}

template <typename F>
json QuantilesOf(const std::vector<move_run>& runs, F value_of) {
  std::vector<double> values;
  for (const move_run& run : runs) {
    if (const std::optional<double> value = value_of(run)) {
      values.push_back(*value);
    }
  }
  return Quantiles(std::move(values));
}

template <typename F>
json QuantilesAfterOnset(const std::vector<move_run>& runs, F value_of) {
  return QuantilesOf(runs, [&](const move_run& run) -> std::optional<double> {
    if (!run.fault_appeared) return std::nullopt;
    return static_cast<double>(value_of(run));
  });
}

json Row(const move_run_options& options, const std::vector<move_run>& runs) {
  json row{
      {"contender", options.factory.name},
      {"kind", options.kind.name},
      {"calls_per_second", options.calls_per_second},
      {"length_seconds", options.length.count()},
      {"done_in_time_percent", PercentOf(runs, &move_run::is_done_in_time)},
      {"taken_back_percent", PercentOf(runs, &move_run::is_rolled_back)}};
  if (!options.kind.is_bad) return row;
  row["shown_percent"] = PercentOf(runs, &move_run::fault_appeared);
  row["calls_before_shown"] = QuantilesAfterOnset(
      runs, [](const auto& run) { return run.calls_before_onset; });
  row["calls_after_shown"] = QuantilesAfterOnset(
      runs, [](const auto& run) { return run.calls_after_onset; });
  row["share_after_shown_percent"] =
      QuantilesAfterOnset(runs, [](const auto& run) {
        constexpr double kPercent = 100;
        const auto all = static_cast<double>(run.all_calls_after_onset);
        return all > 0
                   ? kPercent * static_cast<double>(run.calls_after_onset) / all
                   : 0;
      });
  row["share_when_shown"] = QuantilesAfterOnset(
      runs, [](const auto& run) { return run.share_at_onset; });
  row["verdict_after_seconds"] = QuantilesOf(
      runs, [](const auto& run) { return run.rollback_delay_seconds; });
  row["zero_share_after_seconds"] = QuantilesOf(
      runs, [](const auto& run) { return run.zero_share_delay_seconds; });
  row["zero_share_within_2s_percent"] = PercentOf(runs, [](const auto& run) {
    constexpr double kTarget = 2;
    return run.zero_share_delay_seconds &&
           *run.zero_share_delay_seconds <= kTarget;
  });
  row["least_calls_to_tell"] = *MinCallsToDetect(options.kind);
  return row;
}

}  // namespace

int RunMoveExperiment(std::span<const std::string> arguments) {
  const base::command_line_result line = base::ParseCommandLine(
      {.program = "fireflyspar-lab experiment moves-decisions",
       .summary = "Simulates moves to good and bad versions in virtual time.",
       .table = kSettings},
      arguments);
  if (!line.parsed) return line.exit_code;
  const base::settings& settings = *line.parsed;
  const auto kinds = Split(settings.Text("kinds"));
  const auto strategies = Split(settings.Text("contenders"));

  json rows = json::array();
  for (const std::string& rate : Split(settings.Text("rates"))) {
    for (const version_kind& kind : VersionKinds()) {
      for (const strategy_factory& factory : kStrategyFactories) {
        if (!IsChosen(kinds, kind.name)) continue;
        if (!IsChosen(strategies, factory.name)) continue;
        move_run_options options{
            .kind = kind,
            .factory = factory,
            .calls_per_second = std::atof(rate.c_str()),
            .seed = static_cast<std::uint64_t>(settings.Number("seed"))};
        options.length = MoveLengthForRate(options.calls_per_second);
        rows.push_back(Row(options, RunMany(options, settings.Number("runs"),
                                            settings.Number("threads"))));
      }
    }
  }
  std::cout << json{{"experiment", "moves-decisions"},
                    {"seed", settings.Number("seed")},
                    {"runs", settings.Number("runs")},
                    {"rows", std::move(rows)}}
                   .dump()
            << '\n';
  return 0;
}

}  // namespace fireflyspar::lab
