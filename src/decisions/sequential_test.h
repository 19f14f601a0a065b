// A test of whether the new version does something bad, such as failing, more
// often than the old one does at the same moments. It may be looked at after
// every block of calls and stopped at any time; the chance of ever raising a
// false alarm stays below its budget however long it runs.
//
// For each block of n0 old and n1 new calls it multiplies up an e-value: the
// likelihood of the block's hits if the new rate were b and the old one a,
// against the likelihood at the point of the null hypothesis (new <= old +
// tolerance) that is nearest to it. docs/MOVES.md has the proof that such a
// factor is 1 or less on average whenever the null holds, whatever the rates
// are and however they vary from block to block: a general overload, which
// hits both versions, is no evidence against the new one. (Turner, Ly and
// Gruenwald 2021, "Generic E-variables for exact sequential k-sample tests".)
//
// Several values of b are tried at once, and a fault may begin at any block:
// the test is a mixture over both (Robbins 1970; Shin, Ramdas and Rinaldo 2023,
// "E-detectors"), with half of the weight on a fault from the start.
//
// Example: a = 1 in 100, b = 36 in 100, 49 old calls without a hit and one new
// call with one. The nearest null point is about 2 in 100 for the old version,
// so the block is worth about 0.36 / 0.02 = 18 to one, and three such blocks in
// a row settle a budget of 1 in 1000.
#ifndef FIREFLYSPAR_DECISIONS_SEQUENTIAL_TEST_H_
#define FIREFLYSPAR_DECISIONS_SEQUENTIAL_TEST_H_

#include <array>
#include <cstddef>
#include <cstdint>

namespace fireflyspar::decisions {

// Trials of both versions over the same moments.
struct trial_block {
  std::uint64_t old_calls = 0;
  std::uint64_t old_hits = 0;
  std::uint64_t new_calls = 0;
  std::uint64_t new_hits = 0;
};

inline constexpr std::size_t kExcessCount = 4;

struct sequential_test_options {
  double tolerance = 0;  // The new rate may be higher by this much.
  std::array<double, kExcessCount> excesses{};  // Each above the tolerance.
  double expected_rate = 0;     // Of the old version, before anything is known.
  double expected_weight = 50;  // How many calls that expectation is worth.
  double suspicious_excess = 0.1;  // What IsSuspicious looks out for.
};

class sequential_test {
 public:
  explicit sequential_test(const sequential_test_options& options);

  // Counts the block. It must hold calls of both versions to tell anything,
  // and where it ends must not depend on its hits.
  void Add(const trial_block& block);

  // Looks at calls of the new version alone, as they come in; tells only
  // IsSuspicious.
  void Watch(std::uint64_t new_calls, std::uint64_t new_hits);

  // The evidence against the new version, as a natural logarithm: the null
  // hypothesis lets it ever reach log(1 / p) with a chance of at most p.
  double LogEvidence() const;

  // Whether the new version's last calls look much worse than the old version's
  // rate as it is remembered. Quick, because it does not wait for calls of the
  // old version, but no proof: an overload that hits both looks the same.
  bool IsSuspicious() const;

  // The old version's rate over about its last thousand calls.
  double OldRate() const;

 private:
  void Learn(const trial_block& block);

  sequential_test_options options_;
  std::array<double, kExcessCount> evidence_{};
  double old_hits_;
  double old_calls_;
  std::uint64_t blocks_ = 0;
  double suspicion_ = 0;  // A cumulative sum as in Page 1954.
};

// The logarithm of one block's e-value for old rate `a` and new rate `b`.
double LogBlockEvidence(const trial_block& block, double a, double b,
                        double tolerance);

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_SEQUENTIAL_TEST_H_
