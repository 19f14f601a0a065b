#include "proxy/organisation_access.h"

#include <catch2/catch.hpp>

#include "proxy/identify_request.h"

namespace fireflyspar::proxy {
namespace {

using backend_servers::http_request;
namespace http = backend_servers::http;

http_request Request(std::string_view authorization) {
  http_request request(http::verb::get, "/p/x", 11);
  request.set("Organisation", "forged");
  if (!authorization.empty()) {
    request.set(http::field::authorization,
                backend_servers::ToBeast(authorization));
  }
  return request;
}

struct access_fixture {
  access_fixture() {
    configuration.organisations = {{.name = "bureau", .keys = {"k1"}},
                                   {.name = "press", .keys = {"k2"}}};
    tested.SetConfiguration(configuration);
  }

  config::mesh_configuration configuration;
  config::mesh_route route;
  bool is_fresh = true;
  header_names names{.organisation = "Organisation"};
  organisation_access tested{
      {.headers = names,
       .is_configuration_fresh = [this] { return is_fresh; }}};
};

TEST_CASE("a server gets the organisation's name in place of the key") {
  access_fixture f;
  http_request request = Request("Bearer k1");
  const access_result result = f.tested.Check(request, f.route, false);
  CHECK_FALSE(result.refusal);
  REQUIRE(result.organisation != nullptr);
  CHECK(result.organisation->name == "bureau");
  CHECK(request["Organisation"] == "bureau");
  CHECK(request.count(http::field::authorization) == 0);
}

TEST_CASE(
    "a request without a good key is refused, and its key goes no further") {
  access_fixture f;
  const std::string_view value =
      GENERATE("", "Bearer", "Bearer ", "Bearer K1", "Basic k1", "k1",
               "Bearer k1 k1", "Bearer \xff\xfe");
  http_request request = Request(value);
  const access_result result = f.tested.Check(request, f.route, false);
  CHECK(result.refusal == base::error_kind::kUnknownKey);
  CHECK(request.count(http::field::authorization) == 0);
}

TEST_CASE("two keys in one request are no key") {
  access_fixture f;
  http_request request = Request("Bearer k1");
  request.insert(http::field::authorization, "Bearer k2");
  CHECK(f.tested.Check(request, f.route, false).refusal ==
        base::error_kind::kUnknownKey);
}

// Guards against a final 401 for a key that was added while the store did not
// serve this instance.
TEST_CASE("an unknown key may be new while the configuration may be old") {
  access_fixture f;
  f.is_fresh = false;
  http_request request = Request("Bearer k9");
  CHECK(f.tested.Check(request, f.route, false).refusal ==
        base::error_kind::kNotReady);
}

TEST_CASE("a nested call and a public route need no key") {
  access_fixture f;
  http_request nested = Request("Bearer k1");
  const access_result of_nested = f.tested.Check(nested, f.route, true);
  CHECK_FALSE(of_nested.refusal);
  CHECK(of_nested.organisation == nullptr);
  CHECK(nested.count("Organisation") == 0);
  f.route.is_public = true;
  http_request open = Request("");
  CHECK_FALSE(f.tested.Check(open, f.route, false).refusal);
  CHECK(open.count("Organisation") == 0);
}

TEST_CASE("a key that is taken away is unknown at once") {
  access_fixture f;
  f.configuration.organisations->front().keys.clear();
  f.tested.SetConfiguration(f.configuration);
  http_request request = Request("Bearer k1");
  CHECK(f.tested.Check(request, f.route, false).refusal ==
        base::error_kind::kUnknownKey);
}

TEST_CASE("a configuration without organisations leaves requests as they are") {
  access_fixture f;
  f.configuration.organisations.reset();
  f.tested.SetConfiguration(f.configuration);
  http_request request = Request("Bearer k1");
  CHECK_FALSE(f.tested.Check(request, f.route, false).refusal);
  CHECK(request["Organisation"] == "forged");
  CHECK(request.count(http::field::authorization) == 1);
}

// Guards against one organisation's request being withheld for another's.
TEST_CASE("the organisation is the caller of a request that ends servers") {
  access_fixture f;
  http_request one = Request("Bearer k1");
  http_request other = Request("Bearer k2");
  f.tested.Check(one, f.route, false);
  f.tested.Check(other, f.route, false);
  const auto hash = [&f](const http_request& request) {
    return HeadHash(request, CallerOf(request, false, "stock", f.names));
  };
  CHECK(hash(one) != hash(other));
}

}  // namespace
}  // namespace fireflyspar::proxy
