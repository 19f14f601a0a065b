#include "nodes/wire.h"

#include <capnp/message.h>

#include <catch2/catch.hpp>

namespace fireflyspar::nodes {
namespace {

decisions::gossip FullGossip() {
  return {
      .sender = "a",
      .sender_address = {.ip = "10.0.0.1", .port = 7000},
      .configuration = 9,
      .root_hash = 8,
      .bucket_hashes = {1, 2, 3},
      .listed_buckets = {4, 5},
      .versions = {{.key = 1, .major = 2, .minor = 3}},
      .requested_keys = {6},
      .members = {{.node_id = "b",
                   .data_centre = "fukuoka",
                   .region = "kyushu",
                   .incarnation = 1,
                   .sequence = 2,
                   .state = decisions::node_state::kLeft,
                   .rpc_address = {.ip = "::1", .port = 1},
                   .gate_address = {.ip = "10.0.0.2", .port = 2},
                   .server = {.service = "s",
                              .version = "v",
                              .slots = 6,
                              .state = decisions::server_state::kDraining}}},
      .moves = {{.id = "m",
                 .service = "s",
                 .old_version = "v1",
                 .new_version = "v2",
                 .start = base::instant(base::duration(5)),
                 .complete_by = base::instant(base::duration(6)),
                 .operation_id = "o",
                 .state = decisions::move_state::kDone,
                 .is_final = true,
                 .evidence = "e",
                 .ready_data_centres = {"x", "y"}}},
      .tombstones = {"n"},
      .try_instead = {{.ip = "10.0.0.3", .port = 3}}};
}

TEST_CASE("a message reads back as it was written") {
  capnp::MallocMessageBuilder message;
  auto out = message.initRoot<wire::Gossip>();
  Write(FullGossip(), out);
  const auto read = Read(out.asReader());
  REQUIRE(read);
  CHECK(*read == FullGossip());
}

TEST_CASE("an unknown enumerator or a host name makes a message malformed") {
  capnp::MallocMessageBuilder message;
  auto out = message.initRoot<wire::Gossip>();
  Write(FullGossip(), out);
  SECTION("enumerator") { out.getMembers()[0].setState(200); }
  SECTION("host name") { out.getMembers()[0].setRpcAddress("example.org:1"); }
  SECTION("sender") { out.setSenderAddress("nowhere"); }
  const auto read = Read(out.asReader());
  REQUIRE_FALSE(read);
  CHECK(read.Failure().Kind() == base::error_kind::kMalformedMessage);
}

TEST_CASE("a configuration message carries a delta, a text or a referral") {
  capnp::MallocMessageBuilder message;
  auto out = message.initRoot<wire::Configuration>();
  decisions::configuration_message sent{.id = {.version = 3, .hash = "h"}};
  SECTION("delta") {
    sent.change = config::delta{
        .base_hash = "b",
        .result_hash = "r",
        .edits = {{.offset = 1, .removed = 2, .added = std::string("\0x", 2)}}};
  }
  SECTION("text") { sent.text = "text"; }
  Write(sent, out);
  auto read = Read(out.asReader());
  REQUIRE(read);
  const auto& got = std::get<decisions::configuration_message>(*read);
  CHECK(got.id == sent.id);
  CHECK(got.change == sent.change);
  CHECK(got.text == sent.text);
  const std::vector<base::address> others{{.ip = "10.0.0.3", .port = 3}};
  Write(others, out);
  read = Read(out.asReader());
  REQUIRE(read);
  CHECK(std::get<std::vector<base::address>>(*read) == others);
}

}  // namespace
}  // namespace fireflyspar::nodes
