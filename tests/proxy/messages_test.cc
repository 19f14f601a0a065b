#include <catch2/catch.hpp>
#include <chrono>

#include "proxy/gate_messages.h"
#include "proxy/server_entry_json.h"

namespace fireflyspar::proxy {
namespace {

using std::chrono::milliseconds;

call_offer Offer() {
  return {.service = "stock",
          .version = "v1",
          .route = "r-1",
          .caller_service = "",
          .is_idempotent = true,
          .is_nested_call = false,
          .priority = 2,
          .wait_limit = std::chrono::milliseconds(40),
          .left = milliseconds(800),
          .time_to_objective = milliseconds(-20),
          .typical_duration = milliseconds(100),
          .body_bytes = 60'000};
}

decisions::server_entry Entry() {
  return {.instance = "n1",
          .data_centre = "here",
          .gate = {.ip = "10.0.0.1", .port = 7600},
          .server = {.id = "i-1",
                     .service = "stock",
                     .version = "v1",
                     .slots = 6,
                     .condition = decisions::server_condition::kDraining,
                     .start_ms = 5}};
}

TEST_CASE("an offer is unchanged after encoding as a header and parsing") {
  const auto parsed = ParseOffer(ToText(Offer()));
  REQUIRE(parsed);
  CHECK(*parsed == Offer());
}

// A peer of an older version does not send the length of the body, which is the
// last word.
TEST_CASE("an offer without a body length has none") {
  call_offer offer = Offer();
  const std::string text = ToText(offer);
  const auto parsed = ParseOffer(text.substr(0, text.rfind(' ')));
  REQUIRE(parsed);
  offer.body_bytes = 0;
  CHECK(*parsed == offer);
}

TEST_CASE("a truncated offer is rejected") {
  std::string text = ToText(Offer());
  text.resize(text.rfind(' '));
  while (text.find(' ') != std::string::npos) {
    text.resize(text.rfind(' '));
    CHECK_FALSE(ParseOffer(text));
  }
}

// Names come from documents. A line break would begin another header.
TEST_CASE("names with any bytes are unchanged after encoding and parsing") {
  call_offer offer = Offer();
  offer.service = "a b";
  offer.version = "-";
  offer.route = "100%\r\nEvil: 1";
  offer.caller_service = "\xc3\xa9\x01";
  const std::string text = ToText(offer);
  CHECK(text.find('\n') == std::string::npos);
  const auto parsed = ParseOffer(text);
  REQUIRE(parsed);
  CHECK(*parsed == offer);
}

TEST_CASE("notices are unchanged after encoding and parsing") {
  const told_notices told{
      .server_id = "i-1",
      .start_ms = 1'700'000'000'000,
      .said = {.requests_per_second = 20.375, .is_leaving = true}};
  call_offer offer = Offer();
  offer.told = told;
  CHECK(ParseOffer(ToText(offer)).value() == offer);
  offer.told->said.requests_per_second.reset();
  CHECK(ParseOffer(ToText(offer)).value() == offer);
  const auto status = ParseStatus(ToText(gate_status{.told = told}));
  REQUIRE(status);
  CHECK(status->told == told);
  CHECK(status->load.requests_per_second == 20.375);
}

TEST_CASE("half of a notice is rejected") {
  call_offer offer = Offer();
  offer.told = told_notices{.server_id = "i-1", .start_ms = 5};
  std::string text = ToText(offer);
  text.resize(text.rfind(' '));
  CHECK_FALSE(ParseOffer(text));
}

TEST_CASE("a malformed escape is rejected") {
  std::string text = ToText(Offer());
  const std::string escape = GENERATE("%", "%4", "%zz", "%-1");
  text.replace(0, std::string("stock").size(), escape);
  CHECK_FALSE(ParseOffer(text));
}

TEST_CASE("an outcome is unchanged after conversion to a message and back") {
  gate_outcome outcome = NotRun(base::error_kind::kShed, "full");
  outcome.wait = milliseconds(70);
  outcome.refused_by_server = true;
  outcome.status = gate_status{
      .load = {.running = 6, .slots = 6}, .server_id = "i-1", .version = "v1"};
  const gate_outcome back = FromMessage(ToMessage(std::move(outcome)));
  CHECK(back.end == gate_outcome_kind::kNotRun);
  CHECK(back.reason == base::error_kind::kShed);
  CHECK(back.wait == milliseconds(70));
  CHECK(back.refused_by_server);
  REQUIRE(back.status);
  CHECK(back.status->load.running == 6);
}

// Guards against a message that grows where nothing is evacuated or cold.
TEST_CASE(
    "evacuations and cold servers have headers only where there are any") {
  const auto make_outcome = [](const gate_status& status) {
    gate_outcome outcome = NotRun(base::error_kind::kShed, "full");
    outcome.status = status;
    return outcome;
  };
  gate_status status{.server_id = "i-1", .version = "v1"};
  const auto plain = ToMessage(make_outcome(status));
  CHECK(plain.find(kEvacuationsHeader) == plain.end());
  CHECK(plain.find(kColdLimitHeader) == plain.end());
  constexpr auto kIndex = static_cast<std::size_t>(shared_kind::kEvacuations);
  status.held[kIndex] = {.number = 70, .era = 2};
  status.load.cold_limit = 7.25;
  const gate_outcome back = FromMessage(ToMessage(make_outcome(status)));
  REQUIRE(back.status);
  CHECK(back.status->held == status.held);
  CHECK(back.status->load.cold_limit == 7.25);
}

TEST_CASE("an optional header that can't be read counts as missing") {
  gate_outcome outcome = NotRun(base::error_kind::kShed, "full");
  outcome.status = gate_status{.server_id = "i-1", .version = "v1"};
  auto message = ToMessage(std::move(outcome));
  message.set(kEvacuationsHeader, "1");
  message.set(kColdLimitHeader, "-4");
  const gate_outcome back = FromMessage(std::move(message));
  REQUIRE(back.status);
  CHECK(back.status->held == shared_revisions{});
  CHECK(back.status->load.cold_limit == 0);
}

TEST_CASE("a message without an outcome header means an unknown outcome") {
  backend_servers::http_response message;
  message.result(503);
  const gate_outcome outcome = FromMessage(std::move(message));
  CHECK(outcome.end == gate_outcome_kind::kUnknown);
}

TEST_CASE("an entry is unchanged after encoding as JSON and parsing") {
  const auto parsed = ParseEntry("n1", ToJson(Entry()));
  REQUIRE(parsed);
  CHECK(*parsed == Entry());
}

// Guards against using invalid entries: other writers may store entries with
// missing fields, fields of the wrong type or unknown values.
TEST_CASE("an invalid entry is rejected") {
  const nlohmann::json whole = ToJson(Entry());
  for (const auto& [key, value] : whole.items()) {
    nlohmann::json missing = ToJson(Entry());
    missing.erase(key);
    CHECK_FALSE(ParseEntry("n1", missing));
    nlohmann::json wrong_type = ToJson(Entry());
    wrong_type[key] = nlohmann::json::array({value});
    CHECK_FALSE(ParseEntry("n1", wrong_type));
  }
  nlohmann::json unknown = ToJson(Entry());
  unknown["condition"] = "resting";
  CHECK_FALSE(ParseEntry("n1", unknown));
  CHECK_FALSE(ParseEntry("n2", ToJson(Entry())));
}

}  // namespace
}  // namespace fireflyspar::proxy
