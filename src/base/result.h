// A value or a failure, returned by functions that can fail for a reason that
// their caller should handle. A failure has an error kind for programs and a
// sentence for people that names the offending value.
#ifndef FIREFLYSPAR_BASE_RESULT_H_
#define FIREFLYSPAR_BASE_RESULT_H_

#include <string>
#include <system_error>
#include <utility>
#include <variant>

#include "base/error.h"

namespace fireflyspar::base {

struct failure {
  std::error_code code;
  std::string detail;

  error_kind Kind() const { return static_cast<error_kind>(code.value()); }
};

inline failure Fail(error_kind kind, std::string detail) {
  return {.code = kind, .detail = std::move(detail)};
}

template <typename T>
class result {
 public:
  // Implicit, so that functions can write `return value;` and
  // `return Fail(...);`.
  result(T value) : state_(std::move(value)) {}            // NOLINT
  result(failure failure) : state_(std::move(failure)) {}  // NOLINT

  bool Ok() const { return std::holds_alternative<T>(state_); }
  explicit operator bool() const { return Ok(); }

  const T& operator*() const& { return std::get<T>(state_); }
  T& operator*() & { return std::get<T>(state_); }
  T&& operator*() && { return std::get<T>(std::move(state_)); }
  const T* operator->() const { return &std::get<T>(state_); }
  T* operator->() { return &std::get<T>(state_); }

  const failure& Failure() const { return std::get<failure>(state_); }

 private:
  std::variant<T, failure> state_;
};

struct success {};
using status = result<success>;

// Returns "ok" or the name of the failure's kind, for logs.
template <typename T>
std::string NameOfResult(const result<T>& outcome) {
  if (outcome) return "ok";
  return std::string(ErrorInfoFor(outcome.Failure().Kind()).name);
}

}  // namespace fireflyspar::base

#endif  // FIREFLYSPAR_BASE_RESULT_H_
