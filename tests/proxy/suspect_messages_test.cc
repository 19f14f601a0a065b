// What processes tell each other of requests that end servers: the encoding,
// and messages of peers that don't fit.
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "proxy/suspect_exchange.h"
#include "proxy/suspect_headers.h"
#include "proxy/suspect_json.h"
#include "proxy/suspect_text.h"

namespace fireflyspar::proxy {
namespace {

using decisions::suspect;
using nlohmann::json;
using std::chrono::hours;
using std::chrono::milliseconds;
namespace http = backend_servers::http;

constexpr char kDigest[] = "0123456789abcdef0123456789abcdef";

suspect MakeSuspect(base::steady_instant now) {
  return {
      .identity = {.head_hash = 18'000'000'000'000'000'000U, .digest = kDigest},
      .service = "stock",
      .ends = {{.server = {"i-1", 1'780'000'000'000},
                .instance = "n1",
                .level = 3,
                .at = now - milliseconds(1500)},
               {.server = {"i-2", 2},
                .instance = "n2",
                .level = 1,
                .is_cleared = true,
                .at = now - milliseconds(20)}},
      .held = {.term = 2,
               .is_lifted = false,
               .ended_versions = {"v1"},
               .sound_versions = {"v2"},
               .until = now + hours(2)}};
}

// At whole milliseconds, as times are sent.
const base::steady_instant kNow{hours(50)};

TEST_CASE("a suspect is read as it was written") {
  const suspect known = MakeSuspect(kNow);
  CHECK(ParseSuspect(ToJson(known, kNow), kNow) == known);
}

TEST_CASE("ages are sent, so that clocks may differ") {
  const auto theirs =
      ParseSuspect(ToJson(MakeSuspect(kNow), kNow), kNow + hours(7));
  REQUIRE(theirs);
  CHECK(theirs->held.until == kNow + hours(9));
  CHECK(theirs->ends[0].at == kNow + hours(7) - milliseconds(1500));
}

TEST_CASE("a suspect that doesn't fit is refused whole") {
  json said = ToJson(MakeSuspect(kNow), kNow);
  SECTION("no object") { said = 1; }
  SECTION("missing") { said.erase("ends"); }
  SECTION("another type") { said["term"] = "2"; }
  SECTION("out of range") { said["ends"][0]["level"] = 4; }
  SECTION("negative age") { said["ends"][0]["age_ms"] = -1; }
  SECTION("long name") { said["service"] = std::string(257, 's'); }
  SECTION("no service") { said["service"] = ""; }
  SECTION("short digest") { said["digest"] = "0123"; }
  SECTION("many ends") { said["ends"] = json::array_t(9, said["ends"][0]); }
  SECTION("many versions") {
    said["ended_versions"] = {"1", "2", "3", "4", "5", "6", "7", "8", "9"};
  }
  SECTION("long hold") { said["left_ms"] = 90'000'000; }
  SECTION("hash of another type") { said["head"] = -1; }
  CHECK_FALSE(ParseSuspect(said, kNow));
}

TEST_CASE("an offer and an outcome carry what is known of the request") {
  const auto now = std::chrono::steady_clock::now();
  call_offer offer{.suspect = MakeSuspect(now), .is_trial = true};
  backend_servers::http_request request{http::verb::get, "/", 11};
  WriteSuspect(offer, request);
  call_offer read;
  ReadSuspect(request, read);
  REQUIRE(read.suspect);
  CHECK(read.suspect->identity == offer.suspect->identity);
  CHECK(read.is_trial);
  gate_outcome refused = NotRun(base::error_kind::kShed, "ended");
  refused.refusal = decisions::suspect_refusal::kWithheld;
  refused.suspect = MakeSuspect(now);
  const gate_outcome seen = FromMessage(ToMessage(std::move(refused)));
  CHECK(seen.end == gate_outcome_kind::kNotRun);
  CHECK(seen.refusal == decisions::suspect_refusal::kWithheld);
  REQUIRE(seen.suspect);
  CHECK(seen.suspect->held.term == 2);
}

TEST_CASE("a header that can't be read says nothing") {
  for (const std::string& text :
       {std::string("{"), std::string("[]"), std::string("{\"suspect\":1}"),
        std::string(9000, '[')}) {
    backend_servers::http_request request{http::verb::get, "/", 11};
    request.set(kSuspectHeader, text);
    call_offer read;
    ReadSuspect(request, read);
    CHECK_FALSE(read.suspect);
    CHECK_FALSE(read.is_trial);
  }
}

// A process that gets messages, and knows no other.
struct receiver {
  backend_servers::http_response Receive(const std::string& body) {
    backend_servers::http_request request{http::verb::post, kSuspectsPath, 11};
    request.body() = body;
    return tested.Serve(request);
  }

  net::io_context loop;
  std::string lines;
  base::event_log log{{.write =
                           [this](std::string_view bytes) {
                             lines += bytes;
                             return bytes.size();
                           },
                       .clock = base::SystemClock()}};
  decisions::crash_suspects suspects;
  decisions::server_directory directory;
  suspect_exchange tested{{.executor = loop.get_executor(),
                           .instance = "n1",
                           .suspects = &suspects,
                           .directory = &directory,
                           .log = &log,
                           .random = base::SeededRandom(1)}};
};

TEST_CASE("a message of a peer is taken in, also twice, and also in part") {
  receiver fixture;
  const auto now = std::chrono::steady_clock::now();
  const json good = ToJson(MakeSuspect(now), now);
  fixture.Receive(json::array({good, 1, good}).dump());
  CHECK(fixture.suspects.All().size() == 1);
  CHECK(fixture.suspects.All().front()->ends.size() == 2);
}

TEST_CASE("messages that don't fit are dropped with one line") {
  receiver fixture;
  for (int i = 0; i < 100; ++i) {
    for (const std::string& body :
         {std::string("{"), std::string("7"),
          json(json::array_t(513, nullptr)).dump(), std::string(1'100'000, ' '),
          std::string(100'000, '[')}) {
      CHECK(fixture.Receive(body).result() == http::status::ok);
    }
  }
  fixture.log.Flush();
  CHECK(fixture.suspects.IsEmpty());
  CHECK(std::ranges::count(fixture.lines, '\n') == 1);
}

TEST_CASE("a process that asks hears what it does not know") {
  receiver fixture;
  const auto now = std::chrono::steady_clock::now();
  fixture.suspects.Merge(MakeSuspect(now), now);
  const json heard = json::parse(fixture.Receive("").body());
  REQUIRE(heard.size() == 1);
  CHECK(heard[0]["digest"] == kDigest);
}

TEST_CASE("what is withheld now is shown") {
  receiver fixture;
  base::metrics metrics;
  const auto now = std::chrono::steady_clock::now();
  fixture.suspects.Merge(MakeSuspect(now), now);
  ShowSuspects(fixture.suspects, metrics, now);
  const std::string text = metrics.ToPrometheusText();
  CHECK(text.find("fireflyspar_withheld_requests 1") != std::string::npos);
  const std::string list = ListSuspects(fixture.suspects, now);
  CHECK(list.starts_with("withheld stock " + std::string(kDigest)));
  CHECK(list.find("i-1@n1:1500ms_ago:level3") != std::string::npos);
}

}  // namespace
}  // namespace fireflyspar::proxy
