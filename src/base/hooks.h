// The outside world's variation as std::function hooks: time and randomness.
// Pure code takes `now` as an argument; code at the edges takes these hooks, so
// that a test or another bench can drive it without a real clock.
#ifndef FIREFLYSPAR_BASE_HOOKS_H_
#define FIREFLYSPAR_BASE_HOOKS_H_

#include <chrono>
#include <cstdint>
#include <functional>

namespace fireflyspar::base {

// A point on the shared wall clock, in microseconds since the Unix epoch. Used
// where nodes must agree on a time, as in a move's schedule.
using instant = std::chrono::sys_time<std::chrono::microseconds>;
using duration = std::chrono::microseconds;

// A point on this process's own steady clock; for waits and deadlines, which a
// jump of the time of day must not touch.
using steady_instant = std::chrono::steady_clock::time_point;

using clock_hook = std::function<instant()>;

// Uniform over all 64-bit values.
using random_hook = std::function<std::uint64_t()>;

// The machine's wall clock, never going back within this process.
clock_hook SystemClock();

// A generator seeded from the machine, safe to call from many threads.
random_hook SystemRandom();

// A generator that gives the same values for the same seed. Not thread-safe.
random_hook SeededRandom(std::uint64_t seed);

// A value in [0, 1) from one draw.
inline double Unit(std::uint64_t draw) {
  constexpr double kTwoToMinus53 = 1.0 / 9007199254740992.0;
  return static_cast<double>(draw >> 11) * kTwoToMinus53;
}

}  // namespace fireflyspar::base

#endif  // FIREFLYSPAR_BASE_HOOKS_H_
