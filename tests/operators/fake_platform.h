// An in-memory implementation of the platform's object API with fault
// injection: before each call, `inject_fault` returns the fault to inject.
#ifndef FIREFLYSPAR_TESTS_OPERATORS_FAKE_PLATFORM_H_
#define FIREFLYSPAR_TESTS_OPERATORS_FAKE_PLATFORM_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "operators/context.h"
#include "platform/object_api.h"

namespace fireflyspar::operators {

enum class call_kind { kGet, kPut, kList, kRemove };

enum class call_fault {
  kNone,
  kUnavailable,          // Refused without effect.
  kOverRate,             // Refused without effect.
  kAppliedResponseLost,  // A write took effect; its response is lost.
  kRequestLost           // A write never arrived; there is no response.
};

class fake_platform {
 public:
  using fault_hook =
      std::function<call_fault(call_kind call, std::string_view key)>;

  // Called before each call takes effect; a test may run another operator's
  // commands in it.
  fault_hook inject_fault = [](call_kind, std::string_view) {
    return call_fault::kNone;
  };

  int calls = 0;
  std::map<std::string, platform::object, std::less<>> objects;

  // Returns this platform's API; the platform must outlive it.
  platform::object_api Api();

  // Returns an operator's context with a constant clock and a sleep hook that
  // returns at once.
  context Operator(const std::string& who, std::uint64_t seed);

 private:
  base::result<platform::object> Get(std::string_view key);
  base::result<std::uint64_t> Put(std::string_view key, std::string_view value,
                                  std::uint64_t if_version);
  base::result<std::vector<platform::object>> List(std::string_view prefix);
  base::result<base::success> Remove(std::string_view key,
                                     std::uint64_t if_version);
  std::uint64_t VersionOf(std::string_view key) const;

  std::uint64_t last_version_ = 0;
};

}  // namespace fireflyspar::operators

#endif  // FIREFLYSPAR_TESTS_OPERATORS_FAKE_PLATFORM_H_
