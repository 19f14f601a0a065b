#include "base/hooks.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <random>

namespace fireflyspar::base {
namespace {

instant WallClockNow() {
  return std::chrono::time_point_cast<duration>(
      std::chrono::system_clock::now());
}

// The latest time that SystemClock has returned to any thread.
std::atomic<std::int64_t> latest_microseconds{0};

}  // namespace

clock_hook SystemClock() {
  return [] {
    const std::int64_t now = WallClockNow().time_since_epoch().count();
    std::int64_t latest = latest_microseconds.load(std::memory_order_relaxed);
    while (latest < now &&
           !latest_microseconds.compare_exchange_weak(latest, now)) {
    }
    return instant(duration(std::max(latest, now)));
  };
}

random_hook SystemRandom() {
  return [] {
    thread_local std::mt19937_64 engine(
        (static_cast<std::uint64_t>(std::random_device{}()) << 32) ^
        std::random_device{}());
    return engine();
  };
}

random_hook SeededRandom(std::uint64_t seed) {
  auto engine = std::make_shared<std::mt19937_64>(seed);
  return [engine] { return (*engine)(); };
}

}  // namespace fireflyspar::base
