#include "platform/documents.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <limits>

#include "platform/body.h"

namespace fireflyspar::platform {
namespace {

using nlohmann::json;

json Route() {
  return {{"name", "r-1"},    {"host", "a.example"}, {"path_prefix", "/p/"},
          {"kind", "unsafe"}, {"timeout", "1000ms"}, {"slo", "0.5s"},
          {"priority", 1},    {"service", "stock"},  {"attempts", 2}};
}

json Configuration() {
  return {{"version", "r7"},
          {"routes", json::array({Route()})},
          {"services", json::array({{{"name", "stock"},
                                     {"health_path", "/healthz"},
                                     {"max_conns", 120},
                                     {"cold_per_s", 7.25}}})},
          {"limits",
           {{"header_bytes", 16384},
            {"body_bytes", 1000},
            {"header_timeout", "3000ms"},
            {"idle_timeout", "15000ms"}}}};
}

const json kHeartbeat = json::parse(
    R"({"address":"10.0.0.9:8080","born":1790000000000,)"
    R"("info":{"service":"stock","version":"v1","zone":"z","slots":6},)"
    R"("status":{"state":"ready","seq":4,"cold_left":"1500ms"}})");

TEST_CASE("a configuration is decoded into plain fields") {
  const auto decoded = DecodeConfiguration(Configuration());
  REQUIRE(decoded);
  CHECK(decoded->errors.empty());
  CHECK(decoded->configuration.version == 7);
  REQUIRE(decoded->configuration.routes.size() == 1);
  const config::mesh_route& route = decoded->configuration.routes.front();
  CHECK_FALSE(route.is_idempotent);
  CHECK(route.timeout == std::chrono::seconds(1));
  CHECK(route.objective == std::chrono::milliseconds(500));
  CHECK(route.max_attempts == 2);
  CHECK(decoded->configuration.limits.body_bytes == 1000);
  REQUIRE(decoded->configuration.services.size() == 1);
  CHECK(decoded->configuration.services.front().cold_requests_per_second ==
        7.25);
}

TEST_CASE("organisations are read with their keys and limits") {
  json document = Configuration();
  document["tenants"] =
      json::array({{{"name", "bureau"},
                    {"api_keys", {"k1", "k2"}},
                    {"priority", 1},
                    {"rate_per_s", 12.5},
                    {"burst", 30}},
                   {{"name", "press"}, {"api_keys", json::array()}}});
  document["routes"][0]["public"] = true;
  const auto decoded = DecodeConfiguration(document);
  REQUIRE(decoded);
  CHECK(decoded->errors.empty());
  CHECK(decoded->configuration.routes.front().is_public);
  REQUIRE(decoded->configuration.organisations);
  const auto& organisations = *decoded->configuration.organisations;
  REQUIRE(organisations.size() == 2);
  CHECK(organisations[0].keys == std::vector<std::string>{"k1", "k2"});
  CHECK(organisations[0].priority == 1);
  CHECK(organisations[0].limit.requests_per_second == 12.5);
  CHECK(organisations[0].limit.burst == 30);
  CHECK(organisations[1].keys.empty());
  CHECK_FALSE(organisations[1].limit.IsLimited());
}

TEST_CASE("a configuration without organisations needs no keys") {
  const auto decoded = DecodeConfiguration(Configuration());
  REQUIRE(decoded);
  CHECK_FALSE(decoded->configuration.organisations);
}

// Guards against a key in the log: errors show the values that can't be read.
TEST_CASE("an organisation that can't be read costs itself, and shows no key") {
  json document = Configuration();
  const json keys = GENERATE(json("secret"), json::array({"secret", 7}),
                             json::array({""}), json({{"k", "secret"}}));
  document["tenants"] =
      json::array({{{"name", "bureau"}, {"api_keys", keys}},
                   {{"name", "press"}, {"api_keys", {"k3"}}},
                   {{"name", "shop"}, {"api_keys", {"k3"}}},
                   {{"name", 7}, {"api_keys", {"k4"}}},
                   {{"name", "desk"}, {"api_keys", {"k5"}}, {"burst", -1}}});
  const auto decoded = DecodeConfiguration(document);
  REQUIRE(decoded);
  CHECK(decoded->errors.size() == 4);
  for (const std::string& each : decoded->errors) {
    CHECK(each.find("secret") == std::string::npos);
    CHECK(each.find("k3") == std::string::npos);
  }
  REQUIRE(decoded->configuration.organisations);
  CHECK(decoded->configuration.organisations->size() == 4);
}

TEST_CASE("a limit of cold servers that can't be read is none") {
  json document = Configuration();
  const json limit = GENERATE(json("7.2"), json(-1), json(1e300), json(true),
                              json(std::numeric_limits<double>::quiet_NaN()));
  document["services"][0]["cold_per_s"] = limit;
  const auto decoded = DecodeConfiguration(document);
  REQUIRE(decoded);
  CHECK(decoded->errors.size() == 1);
  REQUIRE(decoded->configuration.services.size() == 1);
  CHECK(decoded->configuration.services.front().cold_requests_per_second == 0);
}

json Table(const json& records) {
  json table = {{"columns", json::array()}, {"rows", json::array()}};
  for (const auto& [key, _] : records.front().items()) {
    table["columns"].push_back(key);
  }
  for (const json& each : records) {
    json row = json::array();
    for (const json& key : table["columns"]) {
      row.push_back(each[key.get<std::string>()]);
    }
    table["rows"].push_back(std::move(row));
  }
  return table;
}

TEST_CASE("a configuration of tables decodes to the same as one of arrays") {
  json document = Configuration();
  document["routes"] = Table(document["routes"]);
  document["services"] = Table(document["services"]);
  const auto decoded = DecodeConfiguration(document);
  REQUIRE(decoded);
  const auto plain = DecodeConfiguration(Configuration());
  CHECK(decoded->configuration.routes == plain->configuration.routes);
  CHECK(decoded->configuration.services == plain->configuration.services);
}

TEST_CASE("the last fields of a row that is too short are missing") {
  json document = Configuration();
  document["routes"] = Table(document["routes"]);
  document["routes"]["rows"][0].erase(0);
  const auto decoded = DecodeConfiguration(document);
  REQUIRE(decoded);
  CHECK(decoded->configuration.routes.empty());
  CHECK(decoded->unreadable_routes.size() == 1);
  CHECK_FALSE(decoded->errors.empty());
}

TEST_CASE("a null in a row is a missing field") {
  json document = Configuration();
  document["routes"] = Table(document["routes"]);
  const auto& columns = document["routes"]["columns"];
  const auto attempts = std::ranges::find(columns, json("attempts"));
  document["routes"]["rows"][0][attempts - columns.begin()] = nullptr;
  const auto decoded = DecodeConfiguration(document);
  REQUIRE(decoded);
  CHECK(decoded->configuration.routes.front().max_attempts == 1);
}

TEST_CASE("a split route has a target for each part") {
  json document = Configuration();
  document["routes"][0].erase("service");
  document["routes"][0]["traffic_split"] = {
      {{"service", "stock"}, {"weight", 90}},
      {{"service", "stock"}, {"weight", 10}}};
  const auto decoded = DecodeConfiguration(document);
  REQUIRE(decoded);
  CHECK(decoded->configuration.routes.front().targets.size() == 2);
  CHECK(decoded->configuration.routes.front().targets[1].weight == 10);
}

TEST_CASE("a route to an unknown service is unreadable") {
  json document = Configuration();
  document["routes"][0]["service"] = "nobody";
  const auto decoded = DecodeConfiguration(document);
  REQUIRE(decoded);
  CHECK(decoded->configuration.routes.empty());
  REQUIRE(decoded->unreadable_routes.size() == 1);
  CHECK(decoded->unreadable_routes.front().host == "a.example");
  REQUIRE(decoded->errors.size() == 1);
  CHECK(decoded->errors.front().find("nobody") != std::string::npos);
}

TEST_CASE("a configuration without a list of routes is refused") {
  const json routes =
      GENERATE(json(), json("none"), json(7), json{{"r-1", "not a table"}});
  json document = Configuration();
  document["routes"] = routes;
  const auto decoded = DecodeConfiguration(document);
  REQUIRE_FALSE(decoded);
  CHECK(decoded.Failure().detail.find("routes") != std::string::npos);
}

// Guards against a document that takes the whole mesh down: every proxy refused
// a configuration because one of its routes was of a kind that it did not know.
TEST_CASE("requests of an unknown kind are routed and not repeated") {
  const auto kind = GENERATE(json("stream"), json(""), json(7), json());
  json document = Configuration();
  document["routes"][0]["kind"] = kind;
  const auto decoded = DecodeConfiguration(document);
  REQUIRE(decoded);
  REQUIRE(decoded->configuration.routes.size() == 1);
  CHECK_FALSE(decoded->configuration.routes.front().is_idempotent);
  CHECK(decoded->unreadable_routes.empty());
}

TEST_CASE("uploads are known and not repeated") {
  json document = Configuration();
  document["routes"][0]["kind"] = "upload";
  const auto decoded = DecodeConfiguration(document);
  REQUIRE(decoded);
  CHECK(decoded->errors.empty());
  CHECK_FALSE(decoded->configuration.routes.front().is_idempotent);
}

TEST_CASE("an optional field that can't be read has its safe value") {
  json document = Configuration();
  document["routes"][0]["attempts"] = "many";
  document["routes"][0]["priority"] = -3;
  document["routes"][0]["timeout"] = "1e300s";
  document["limits"]["header_bytes"] = 1e12;
  const auto decoded = DecodeConfiguration(document);
  REQUIRE(decoded);
  REQUIRE(decoded->configuration.routes.size() == 1);
  const config::mesh_route& route = decoded->configuration.routes.front();
  CHECK(route.max_attempts == 1);
  CHECK(route.priority == 0);
  CHECK(route.timeout.count() > 0);
  CHECK(decoded->configuration.limits.header_bytes == 16'384);
  CHECK(decoded->errors.size() == 2);
}

TEST_CASE("a number beyond the range of its type is out of range") {
  json document = Configuration();
  document["routes"][0]["attempts"] = std::uint64_t{1} << 63;
  document["limits"]["body_bytes"] = -1;
  const auto decoded = DecodeConfiguration(document);
  REQUIRE(decoded);
  CHECK(decoded->configuration.routes.front().max_attempts == 1);
  CHECK(decoded->configuration.limits.body_bytes == 1'048'576);
}

TEST_CASE("a text that is not UTF-8 is unreadable and can be reported") {
  json document = Configuration();
  document["routes"][0]["service"] = "stock\xff";
  document["services"][0]["health_path"] = "\xff";
  const auto decoded = DecodeConfiguration(document);
  REQUIRE(decoded);
  CHECK(decoded->configuration.routes.empty());
  CHECK(decoded->errors.size() == 2);
}

TEST_CASE("a rollout in an unknown state is refused") {
  proxy::stored_object object{
      .name = "stock", .revision = {3}, .create_revision = {3}};
  object.content = {
      {"service", "stock"}, {"target_version", "v2"}, {"period", "12s"}};
  object.status = {{"state", "paused"}, {"target_version", "v2"}};
  const auto decoded = DecodeRollout(object);
  REQUIRE_FALSE(decoded);
  CHECK(decoded.Failure().detail.find("paused") != std::string::npos);
}

TEST_CASE("all errors of a configuration are reported at once") {
  json document = Configuration();
  document["version"] = "seven";
  document["routes"][0].erase("host");
  const auto decoded = DecodeConfiguration(document);
  REQUIRE_FALSE(decoded);
  CHECK(decoded.Failure().detail.find("seven") != std::string::npos);
  CHECK(decoded.Failure().detail.find("host is missing") != std::string::npos);
}

TEST_CASE("a heartbeat is decoded") {
  const auto report = DecodeHeartbeat("i-1", EncodeBody(kHeartbeat));
  REQUIRE(report);
  CHECK(report->server.id == "i-1");
  CHECK(report->server.slots == 6);
  CHECK(report->server.start_ms == 1790000000000);
  CHECK(report->sequence == 4);
  CHECK(report->cold_left == std::chrono::milliseconds(1500));
}

TEST_CASE("a heartbeat with an unknown state is refused") {
  std::string body = EncodeBody(kHeartbeat);
  body.replace(body.find("ready"), 5, "weird");
  CHECK_FALSE(DecodeHeartbeat("i-1", body));
}

TEST_CASE("a heartbeat without a required field is refused") {
  json body = kHeartbeat;
  body["info"].erase("slots");
  CHECK_FALSE(DecodeHeartbeat("i-1", EncodeBody(body)));
}

TEST_CASE("a heartbeat that is not valid CBOR is refused") {
  CHECK_FALSE(DecodeHeartbeat("i-1", "\x01{"));
}

TEST_CASE("a rollout without a status is new") {
  proxy::stored_object object{
      .name = "stock", .revision = {3}, .create_revision = {3}};
  object.content = {
      {"service", "stock"}, {"target_version", "v2"}, {"period", "12s"}};
  const auto decoded = DecodeRollout(object);
  REQUIRE(decoded);
  CHECK_FALSE(decoded->has_state);
  CHECK(decoded->order.period == std::chrono::seconds(12));
}

TEST_CASE("a rollout's state is unchanged after encoding and decoding") {
  proxy::stored_object object{
      .name = "stock", .revision = {3}, .create_revision = {3}};
  object.content = {
      {"service", "stock"}, {"target_version", "v2"}, {"period", "12s"}};
  auto order = DecodeRollout(object)->order;
  order.state = decisions::rollout_state::kRolledBack;
  object.status = EncodeRolloutState(order, 99);
  const auto decoded = DecodeRollout(object);
  REQUIRE(decoded);
  CHECK(decoded->has_state);
  CHECK(decoded->order.state == decisions::rollout_state::kRolledBack);
  CHECK(decoded->began_ms == 99);
}

}  // namespace
}  // namespace fireflyspar::platform
