// The platform's object API in memory, with its faults at a test's choice: each
// call first asks `fault_of` what is to go wrong with it.
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
  kUnavailable,       // Refused; nothing happened.
  kOverRate,          // Refused; nothing happened.
  kLostAfterEffect,   // A write took effect and its answer is lost.
  kLostWithoutEffect  // A write never arrived and neither does an answer.
};

class fake_platform {
 public:
  using fault_hook =
      std::function<call_fault(call_kind call, std::string_view key)>;

  // Called before each call takes effect; another operator may act in here.
  fault_hook fault_of = [](call_kind, std::string_view) {
    return call_fault::kNone;
  };

  int calls = 0;
  std::map<std::string, platform::object, std::less<>> objects;

  // The API of this platform, which must outlive it.
  platform::object_api Api();

  // An operator's context whose clock stands still and who never waits.
  context Operator(const std::string& who, std::uint64_t seed);

 private:
  base::result<platform::object> Get(std::string_view key);
  base::result<std::uint64_t> Put(std::string_view key, std::string_view value,
                                  std::uint64_t if_version);
  base::result<std::vector<platform::object>> List(std::string_view prefix);
  base::result<base::nothing> Remove(std::string_view key,
                                     std::uint64_t if_version);
  std::uint64_t VersionOf(std::string_view key) const;

  std::uint64_t last_version_ = 0;
};

}  // namespace fireflyspar::operators

#endif  // FIREFLYSPAR_TESTS_OPERATORS_FAKE_PLATFORM_H_
