// A sequential test of whether a bad outcome of a call (a hit), such as a
// failure, is more frequent with the new version than with the old one over the
// same time. The result may be read after every block of calls, and the test
// may be stopped at any time: the probability of a false alarm stays below its
// budget however long the test runs.
//
// For each block of n0 old and n1 new calls the test multiplies its evidence by
// an e-value: the likelihood of the block's hits at an old rate a and a new
// rate b, divided by their likelihood at the nearest point of the null
// hypothesis (new <= old + tolerance). docs/MOVES.md proves that the mean of
// this factor is at most 1 whenever the null hypothesis holds, whatever the
// rates are and however they vary from block to block. A general overload,
// which affects both versions, is therefore no evidence against the new one.
// (Turner, Ly and Gruenwald 2021, "Generic E-variables for exact sequential
// k-sample tests".)
//
// The test is a mixture over several values of b and over the block at which a
// fault begins (Robbins 1970; Shin, Ramdas and Rinaldo 2023, "E-detectors").
// Half of the weight is on a fault from the first block.
//
// Example: with a = 0.01 and b = 0.36, a block has 49 old calls without a hit
// and one new call with a hit. The nearest null point has an old rate of about
// 0.02, so the e-value of the block is about 0.36 / 0.02 = 18, and three such
// blocks in a row are enough for a budget of 1 in 1000.
#ifndef FIREFLYSPAR_DECISIONS_SEQUENTIAL_TEST_H_
#define FIREFLYSPAR_DECISIONS_SEQUENTIAL_TEST_H_

#include <array>
#include <cstddef>
#include <cstdint>

namespace fireflyspar::decisions {

// Calls of both versions over the same time. A hit is a call with the outcome
// that is tested for.
struct trial_block {
  std::uint64_t old_calls = 0;
  std::uint64_t old_hits = 0;
  std::uint64_t new_calls = 0;
  std::uint64_t new_hits = 0;
};

inline constexpr std::size_t kExcessCount = 4;

struct sequential_test_options {
  // The excess over the old version's rate that the null hypothesis allows.
  double tolerance = 0;
  // The alternatives b - a of the mixture; each above the tolerance.
  std::array<double, kExcessCount> excesses{};
  double prior_rate = 0;           // Prior rate of the old version.
  double prior_calls = 50;         // Weight of the prior rate, in calls.
  double suspicious_excess = 0.1;  // The excess that IsSuspicious detects.
};

class sequential_test {
 public:
  explicit sequential_test(const sequential_test_options& options);

  // Updates the evidence with the block. Only a block with calls of both
  // versions carries evidence, and the choice of its end must not depend on its
  // hits.
  void Add(const trial_block& block);

  // Updates the cumulative sum for IsSuspicious with calls of the new version
  // alone, as they complete. It does not change the evidence.
  void UpdateCusum(std::uint64_t new_calls, std::uint64_t new_hits);

  // Returns the natural logarithm of the evidence against the new version.
  // Under the null hypothesis, the probability that it ever reaches log(1 / p)
  // is at most p.
  double LogEvidence() const;

  // Returns whether the new version's last calls are much worse than OldRate().
  // This detects a fault early, because it does not wait for calls of the old
  // version, but it is no proof: an overload that affects both versions looks
  // the same.
  bool IsSuspicious() const;

  // Returns the old version's hit rate over about its last thousand calls.
  double OldRate() const;

 private:
  // Updates the estimate of OldRate with the block.
  void UpdateBaseline(const trial_block& block);

  sequential_test_options options_;
  // The evidence for each excess, summed over the blocks where a fault may
  // begin.
  std::array<double, kExcessCount> evidence_{};
  double old_hits_;   // Scaled down with old_calls_.
  double old_calls_;  // At most about a thousand; includes the prior.
  std::uint64_t blocks_ = 0;
  double cusum_ = 0;  // Cumulative sum (CUSUM, Page 1954).
};

// Returns the logarithm of the block's e-value for old rate `a` and new rate
// `b`.
double LogBlockEvidence(const trial_block& block, double a, double b,
                        double tolerance);

}  // namespace fireflyspar::decisions

#endif  // FIREFLYSPAR_DECISIONS_SEQUENTIAL_TEST_H_
