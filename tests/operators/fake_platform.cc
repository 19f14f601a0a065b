#include "fake_platform.h"

#include <optional>

namespace fireflyspar::operators {
namespace {

using base::error_kind;

constexpr std::int64_t kStartSeconds = 1'700'000'000;

// Returns the failure of a call whose fault prevents any effect, or nothing if
// the call takes effect.
std::optional<base::failure> FailureBefore(call_fault fault) {
  switch (fault) {
    case call_fault::kUnavailable:
      return base::Fail(error_kind::kPlatformUnavailable, "refused");
    case call_fault::kOverRate:
      return base::Fail(error_kind::kPlatformOverRate, "over rate");
    case call_fault::kRequestLost:
      return base::Fail(error_kind::kResponseLost, "answer lost");
    case call_fault::kAppliedResponseLost:
    case call_fault::kNone:
      break;
  }
  return {};
}

}  // namespace

platform::object_api fake_platform::Api() {
  return {.get = [this](std::string_view key) { return Get(key); },
          .put =
              [this](std::string_view key, std::string_view value,
                     std::uint64_t if_version) {
                return Put(key, value, if_version);
              },
          .list = [this](std::string_view prefix) { return List(prefix); },
          .watch = [this](std::string_view prefix, std::uint64_t,
                          std::chrono::milliseconds) { return List(prefix); },
          .remove =
              [this](std::string_view key, std::uint64_t if_version) {
                return Remove(key, if_version);
              }};
}

context fake_platform::Operator(const std::string& who, std::uint64_t seed) {
  return {.platform = Api(),
          .who = who,
          .clock =
              [] { return base::instant(std::chrono::seconds(kStartSeconds)); },
          .random = base::SeededRandom(seed),
          .sleep = [](std::chrono::milliseconds) {}};
}

std::uint64_t fake_platform::VersionOf(std::string_view key) const {
  const auto found = objects.find(key);
  return found == objects.end() ? 0 : found->second.version;
}

base::result<platform::object> fake_platform::Get(std::string_view key) {
  ++calls;
  const auto failure = FailureBefore(inject_fault(call_kind::kGet, key));
  if (failure) return *failure;
  const auto found = objects.find(key);
  if (found == objects.end()) {
    return base::Fail(error_kind::kNotFound, std::string(key));
  }
  return found->second;
}

base::result<std::uint64_t> fake_platform::Put(std::string_view key,
                                               std::string_view value,
                                               std::uint64_t if_version) {
  ++calls;
  const call_fault fault = inject_fault(call_kind::kPut, key);
  if (const auto failure = FailureBefore(fault)) return *failure;
  const bool version_matches = VersionOf(key) == if_version;
  if (version_matches) {
    objects[std::string(key)] = {.key = std::string(key),
                                 .version = ++last_version_,
                                 .value = std::string(value)};
  }
  if (fault == call_fault::kAppliedResponseLost) {
    return base::Fail(error_kind::kResponseLost, "answer lost");
  }
  if (!version_matches) {
    return base::Fail(error_kind::kConflict, std::string(key));
  }
  return last_version_;
}

base::result<std::vector<platform::object>> fake_platform::List(
    std::string_view prefix) {
  ++calls;
  const auto failure = FailureBefore(inject_fault(call_kind::kList, prefix));
  if (failure) return *failure;
  std::vector<platform::object> found;
  for (const auto& [key, object] : objects) {
    if (key.starts_with(prefix)) found.push_back(object);
  }
  return found;
}

base::result<base::success> fake_platform::Remove(std::string_view key,
                                                  std::uint64_t if_version) {
  ++calls;
  const auto failure = FailureBefore(inject_fault(call_kind::kRemove, key));
  if (failure) return *failure;
  if (VersionOf(key) != if_version) {
    return base::Fail(error_kind::kConflict, std::string(key));
  }
  objects.erase(objects.find(key));
  return base::success{};
}

}  // namespace fireflyspar::operators
