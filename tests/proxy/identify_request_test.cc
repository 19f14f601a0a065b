#include "proxy/identify_request.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

namespace fireflyspar::proxy {
namespace {

namespace http = backend_servers::http;

backend_servers::http_request MakeRequest() {
  backend_servers::http_request request{http::verb::post, "/p/1?page=2", 11};
  request.set(http::field::host, "a.example");
  request.set("Request-Id", "1");
  request.set("Deadline-Ms", "500");
  request.body() = "two crates";
  request.prepare_payload();
  return request;
}

TEST_CASE("a request that comes again has the identity that it had") {
  const auto first = MakeRequest();
  auto again = MakeRequest();
  again.set("Request-Id", "2");
  again.set("Deadline-Ms", "400");
  again.set("Caller-Service", "any");
  again.set(http::field::connection, "close");
  CHECK(IdentifyRequest(first, "") == IdentifyRequest(again, ""));
  CHECK(HeadHash(again, "") == IdentifyRequest(first, "").head_hash);
}

TEST_CASE("requests of others have identities of their own") {
  const auto known = IdentifyRequest(MakeRequest(), "");
  auto other = MakeRequest();
  SECTION("another body") { other.body() = "two crates "; }
  SECTION("another target") { other.target("/p/1?page=3"); }
  SECTION("another method") { other.method(http::verb::put); }
  SECTION("another host") { other.set(http::field::host, "b.example"); }
  SECTION("another caller") {
    other.set(http::field::authorization, "Bearer x");
  }
  CHECK(IdentifyRequest(other, "") != known);
  CHECK(IdentifyRequest(MakeRequest(), "stock") != known);
}

// Not a check: prints what it costs. Run it by name on an idle machine.
TEST_CASE("the cost of telling requests apart", "[.cost]") {
  constexpr int kRuns = 2000;
  for (const std::size_t body_bytes : {0, 4096, 360'000}) {
    auto request = MakeRequest();
    request.body() = std::string(body_bytes, 'x');
    const auto time_of = [&](const auto& work) {
      const auto begun = std::chrono::steady_clock::now();
      std::uint64_t sum = 0;
      for (int i = 0; i < kRuns; ++i) sum += work();
      const auto took = std::chrono::steady_clock::now() - begun;
      CHECK(sum != 1);
      return std::chrono::duration<double, std::micro>(took).count() / kRuns;
    };
    const double head = time_of([&] { return HeadHash(request, ""); });
    const double whole =
        time_of([&] { return IdentifyRequest(request, "").digest.size(); });
    WARN(body_bytes << " bytes: head " << head << " us, whole " << whole
                    << " us");
  }
}

}  // namespace
}  // namespace fireflyspar::proxy
