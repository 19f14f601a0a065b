#include "operators/platform_calls.h"

#include <algorithm>

namespace fireflyspar::operators {
namespace {

using base::error_kind;
using std::chrono::milliseconds;

constexpr int kMaxAttempts = 8;
constexpr milliseconds kInitialBackoff{50};
constexpr milliseconds kMaxBackoff{2000};

// Sleeps before a retry, with full jitter, so that operators whose calls failed
// at the same time don't retry at the same time: the pause after the third
// attempt is between 0 and 200 ms.
void Backoff(const context& ctx, int attempt) {
  const milliseconds limit =
      std::min(kMaxBackoff, kInitialBackoff * (std::int64_t{1} << attempt));
  ctx.sleep(std::chrono::duration_cast<milliseconds>(
      limit * base::ToUnitInterval(ctx.random())));
}

bool IsTransient(const base::failure& failure) {
  return failure.Kind() == error_kind::kPlatformUnavailable ||
         failure.Kind() == error_kind::kPlatformOverRate;
}

template <typename T>
base::result<T> RetryTransient(const context& ctx,
                               const std::function<base::result<T>()>& call) {
  for (int attempt = 0;; ++attempt) {
    base::result<T> got = call();
    if (got || !IsTransient(got.Failure()) || attempt + 1 == kMaxAttempts) {
      return got;
    }
    Backoff(ctx, attempt);
  }
}

}  // namespace

base::result<platform::object> Get(const context& ctx, std::string_view key) {
  return RetryTransient<platform::object>(
      ctx, [&] { return ctx.platform.get(key); });
}

base::result<std::vector<platform::object>> List(const context& ctx,
                                                 std::string_view prefix) {
  return RetryTransient<std::vector<platform::object>>(
      ctx, [&] { return ctx.platform.list(prefix); });
}

base::result<platform::object> GetOrNone(const context& ctx,
                                         std::string_view key) {
  auto got = Get(ctx, key);
  if (!got && got.Failure().Kind() == error_kind::kNotFound) {
    return platform::object{.key = std::string(key)};
  }
  return got;
}

base::result<write_result> WriteConditionally(const context& ctx,
                                              const conditional_write& write) {
  bool response_was_lost = false;
  for (int attempt = 0;; ++attempt) {
    const auto put = ctx.platform.put(write.key, write.value, write.if_version);
    if (put) {
      return write_result{
          .took_effect = true,
          .now = {.key = write.key, .version = *put, .value = write.value}};
    }
    const base::failure& failed = put.Failure();
    if (failed.Kind() == error_kind::kConflict) {
      auto now = GetOrNone(ctx, write.key);
      if (now) {
        const bool is_ours = now->version != 0 && write.is_ours(*now);
        return write_result{.took_effect = is_ours,
                            .response_was_lost = response_was_lost,
                            .now = *std::move(now)};
      }
      // The write's outcome is decided, but could not be read.
      if (response_was_lost) {
        return base::Fail(error_kind::kResponseLost, failed.detail);
      }
      return now.Failure();
    }
    const bool lost = failed.Kind() == error_kind::kResponseLost;
    response_was_lost = response_was_lost || lost;
    const bool can_retry = lost || IsTransient(failed);
    if (!can_retry || attempt + 1 == kMaxAttempts) {
      if (response_was_lost) {
        return base::Fail(error_kind::kResponseLost, failed.detail);
      }
      return failed;
    }
    Backoff(ctx, attempt);
  }
}

}  // namespace fireflyspar::operators
