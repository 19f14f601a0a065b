// A fixture with a stand-in of the platform, a client for it and small objects
// to store there, for the tests of src/platform.
#ifndef FIREFLYSPAR_TESTS_PLATFORM_PLATFORM_FIXTURE_H_
#define FIREFLYSPAR_TESTS_PLATFORM_PLATFORM_FIXTURE_H_

#include <catch2/catch.hpp>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>

#include "base/hash.h"
#include "base/metrics.h"
#include "config/preset_text.h"
#include "lab/platform_stand_in.h"
#include "platform/http_object_api.h"
#include "platform/object_formats.h"
#include "tests/free_address.h"

namespace fireflyspar::platform {

// Limit of a wait on a value_recorder. It is longer than any of these waits
// takes on a busy machine, so it is reached only on failure.
inline constexpr std::chrono::seconds kBackstop{60};

inline std::string PresetText(const std::string& name) {
  return config::ToText(
      {.name = name,
       .data_centres = {"fukuoka"},
       .services = {{.name = "equipment-history",
                     .versions = {{.version = "v1", .percent = 100}}}},
       .routes = {{.name = "lookup",
                   .path_prefix = "/equipment",
                   .service = "equipment-history"}}});
}

inline decisions::move RunningMove(const std::string& id) {
  return {.id = id,
          .service = "equipment-history",
          .old_version = "v1",
          .new_version = "v2",
          .start = base::instant(std::chrono::seconds{1000}),
          .complete_by = base::instant(std::chrono::seconds{2000}),
          .operation_id = "operation-" + id};
}

struct platform_fixture {
  lab::platform_stand_in stand_in{{.address = tests::FreeAddress()}};
  base::metrics metrics;
  object_api api;

  explicit platform_fixture(
      std::chrono::milliseconds timeout = std::chrono::milliseconds{10'000}) {
    REQUIRE(stand_in.Start());
    api = Client(timeout);
  }

  object_api Client(std::chrono::milliseconds timeout,
                    call_rate_limiter* budget = nullptr) {
    return MakeHttpObjectApi({.platform_address = stand_in.Address(),
                              .timeout = timeout,
                              .metrics = &metrics,
                              .budget = budget});
  }

  // Sets the object's value, whatever its version.
  void Store(const std::string& key, const std::string& value) {
    const auto current = api.get(key);
    REQUIRE(api.put(key, value, current ? current->version : 0));
  }

  // Writes the snapshot, then puts it in force.
  void PutInForce(std::uint64_t version, const std::string& preset_name) {
    const std::string text = PresetText(preset_name);
    const std::string hash = base::ContentHash(text);
    Store(std::string(kSnapshotPrefix) + hash, text);
    Store(std::string(kInForceKey),
          ToText(in_force{.id = {.version = version, .hash = hash},
                          .preset = preset_name,
                          .operation_id = "operation"}));
  }

  void StoreMove(const decisions::move& value) {
    Store(std::string(kMovePrefix) + value.id, ToText(value));
  }

  decisions::move StoredMove(const std::string& id) {
    const auto got = api.get(std::string(kMovePrefix) + id);
    REQUIRE(got);
    const auto parsed = ParseMove(got->value);
    REQUIRE(parsed);
    return *parsed;
  }
};

// Collects values from another thread, so that a test can wait for them.
template <typename T>
class value_recorder {
 public:
  void Add(T value) {
    const std::lock_guard lock(mutex_);
    values_.push_back(std::move(value));
    changed_.notify_all();
  }

  std::vector<T> All() const {
    const std::lock_guard lock(mutex_);
    return values_;
  }

  // Waits until some value satisfies `wanted`; returns false after kBackstop.
  template <typename Predicate>
  bool WaitFor(Predicate wanted) const {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(
        lock, kBackstop, [&] { return std::ranges::any_of(values_, wanted); });
  }

 private:
  mutable std::mutex mutex_;
  mutable std::condition_variable changed_;
  std::vector<T> values_;
};

}  // namespace fireflyspar::platform

#endif  // FIREFLYSPAR_TESTS_PLATFORM_PLATFORM_FIXTURE_H_
