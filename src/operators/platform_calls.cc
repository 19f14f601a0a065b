#include "operators/platform_calls.h"

#include <algorithm>

namespace fireflyspar::operators {
namespace {

using base::error_kind;
using std::chrono::milliseconds;

constexpr int kMaxTries = 8;
constexpr milliseconds kFirstPause{50};
constexpr milliseconds kMostPause{2000};

// Sleeps before a retry, with full jitter, so that operators whose calls failed
// at the same time don't retry at the same time: the pause after the third
// attempt is between 0 and 200 ms.
void Pause(const context& with, int tries) {
  const milliseconds most =
      std::min(kMostPause, kFirstPause * (std::int64_t{1} << tries));
  with.sleep(std::chrono::duration_cast<milliseconds>(
      most * base::Unit(with.random())));
}

bool IsPassing(const base::failure& failure) {
  return failure.Kind() == error_kind::kPlatformUnavailable ||
         failure.Kind() == error_kind::kPlatformOverRate;
}

template <typename T>
base::result<T> Retried(const context& with,
                        const std::function<base::result<T>()>& call) {
  for (int tries = 0;; ++tries) {
    base::result<T> got = call();
    if (got || !IsPassing(got.Failure()) || tries + 1 == kMaxTries) return got;
    Pause(with, tries);
  }
}

}  // namespace

base::result<platform::object> Get(const context& with, std::string_view key) {
  return Retried<platform::object>(with,
                                   [&] { return with.platform.get(key); });
}

base::result<std::vector<platform::object>> List(const context& with,
                                                 std::string_view prefix) {
  return Retried<std::vector<platform::object>>(
      with, [&] { return with.platform.list(prefix); });
}

base::result<platform::object> GetOrNone(const context& with,
                                         std::string_view key) {
  auto got = Get(with, key);
  if (!got && got.Failure().Kind() == error_kind::kNotFound) {
    return platform::object{.key = std::string(key)};
  }
  return got;
}

base::result<write_result> Write(const context& with,
                                 const conditional_write& write) {
  bool was_lost = false;
  for (int tries = 0;; ++tries) {
    const auto put =
        with.platform.put(write.key, write.value, write.if_version);
    if (put) {
      return write_result{
          .took_effect = true,
          .now = {.key = write.key, .version = *put, .value = write.value}};
    }
    const base::failure& failed = put.Failure();
    if (failed.Kind() == error_kind::kConflict) {
      auto now = GetOrNone(with, write.key);
      if (now) {
        const bool is_ours = now->version != 0 && write.is_ours(*now);
        return write_result{.took_effect = is_ours,
                            .was_lost = was_lost,
                            .now = *std::move(now)};
      }
      // The write's outcome is decided, but could not be read.
      if (was_lost) return base::Fail(error_kind::kAnswerLost, failed.detail);
      return now.Failure();
    }
    const bool lost = failed.Kind() == error_kind::kAnswerLost;
    was_lost = was_lost || lost;
    const bool can_retry = lost || IsPassing(failed);
    if (!can_retry || tries + 1 == kMaxTries) {
      if (was_lost) return base::Fail(error_kind::kAnswerLost, failed.detail);
      return failed;
    }
    Pause(with, tries);
  }
}

}  // namespace fireflyspar::operators
