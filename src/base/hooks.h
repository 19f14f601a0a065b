// Time and randomness as std::function hooks. Pure code takes `now` as an
// argument; code that does I/O takes these hooks, so that a test or a
// simulation can run it without a real clock.
#ifndef FIREFLYSPAR_BASE_HOOKS_H_
#define FIREFLYSPAR_BASE_HOOKS_H_

#include <chrono>
#include <cstdint>
#include <functional>

namespace fireflyspar::base {

// A wall-clock time, in microseconds since the Unix epoch. Used where nodes
// must agree on a time, as in a move's schedule.
using instant = std::chrono::sys_time<std::chrono::microseconds>;
using duration = std::chrono::microseconds;

// A time on the steady clock of this process. Used for waits and deadlines,
// which must not change when the wall clock is set.
using steady_instant = std::chrono::steady_clock::time_point;

using clock_hook = std::function<instant()>;

// Returns values that are uniform over all 64-bit integers.
using random_hook = std::function<std::uint64_t()>;

// Returns a hook that reads the system's wall clock. The times it returns never
// decrease within this process, over all threads.
clock_hook SystemClock();

// Returns a generator that is seeded from std::random_device. Thread-safe.
random_hook SystemRandom();

// Returns a generator that gives the same values for the same seed. Not
// thread-safe.
random_hook SeededRandom(std::uint64_t seed);

// Maps `draw`, a uniform 64-bit value, to [0, 1).
inline double ToUnitInterval(std::uint64_t draw) {
  constexpr double kTwoToMinus53 = 1.0 / 9007199254740992.0;
  return static_cast<double>(draw >> 11) * kTwoToMinus53;
}

}  // namespace fireflyspar::base

#endif  // FIREFLYSPAR_BASE_HOOKS_H_
