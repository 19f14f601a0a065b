// The seeds that a soak runs: a few in CI, others by hand.
#ifndef FIREFLYSPAR_TESTS_SOAK_SEEDS_H_
#define FIREFLYSPAR_TESTS_SOAK_SEEDS_H_

#include <cstdint>
#include <cstdlib>

namespace fireflyspar::tests {

struct seed_range {
  std::uint64_t first = 1;
  std::uint64_t last = 1;
};

// Returns the seeds that FIREFLYSPAR_SOAK_SEEDS=FIRST-LAST names, and `in_ci`
// without it.
inline seed_range SoakSeeds(seed_range in_ci) {
  const char* const wanted = std::getenv("FIREFLYSPAR_SOAK_SEEDS");
  if (wanted == nullptr) return in_ci;
  char* after_first = nullptr;
  const auto first = std::strtoull(wanted, &after_first, 10);
  const auto last =
      *after_first == '-' ? std::strtoull(after_first + 1, nullptr, 10) : first;
  return {.first = first, .last = last};
}

}  // namespace fireflyspar::tests

#endif  // FIREFLYSPAR_TESTS_SOAK_SEEDS_H_
