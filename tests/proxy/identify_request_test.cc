#include "proxy/identify_request.h"

#include <catch2/catch.hpp>
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

}  // namespace
}  // namespace fireflyspar::proxy
