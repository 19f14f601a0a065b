#include "proxy/server_answers.h"

#include <catch2/catch.hpp>

namespace fireflyspar::proxy {
namespace {

constexpr bool kMayRepeat = true;
constexpr bool kOnlyOnce = false;

answer_meaning Meaning(unsigned status, bool says_not_run, bool is_idempotent) {
  const header_names names;
  backend_servers::http_response answer;
  answer.result(status);
  if (says_not_run) answer.set(names.not_run, "1");
  return MeaningOf(answer, names, is_idempotent);
}

TEST_CASE("a failure that the server marks as not run is a refusal") {
  const unsigned status = GENERATE(400, 429, 503);
  CHECK(Meaning(status, true, kOnlyOnce) == answer_meaning::kRefused);
  CHECK(Meaning(status, true, kMayRepeat) == answer_meaning::kRefused);
}

// Guards against an order that runs twice: to its caller these statuses mean
// that it has not run, but the server did not say so.
TEST_CASE("a status that only looks like a refusal is not passed on") {
  const unsigned status = GENERATE(408, 429, 503);
  CHECK(Meaning(status, false, kOnlyOnce) == answer_meaning::kUnclear);
  CHECK(Meaning(status, false, kMayRepeat) == answer_meaning::kRan);
}

// Guards against "not run" for a request that was answered with success.
TEST_CASE("a success that is marked as not run is neither") {
  const unsigned status = GENERATE(200, 204, 302);
  CHECK(Meaning(status, true, kOnlyOnce) == answer_meaning::kUnclear);
  CHECK(Meaning(status, true, kMayRepeat) == answer_meaning::kUnclear);
}

TEST_CASE("the server's other answers are passed on") {
  const unsigned status = GENERATE(200, 404, 500, 504);
  CHECK(Meaning(status, false, kOnlyOnce) == answer_meaning::kRan);
}

TEST_CASE("another server at the address has not run the request") {
  const bool says_not_run = GENERATE(true, false);
  CHECK(Meaning(421, says_not_run, kOnlyOnce) == answer_meaning::kMisdirected);
}

}  // namespace
}  // namespace fireflyspar::proxy
