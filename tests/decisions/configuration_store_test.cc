#include "decisions/configuration_store.h"

#include <catch2/catch.hpp>
#include <memory>

#include "base/hash.h"

namespace fireflyspar::decisions {
namespace {

config::snapshot_ptr Snapshot(std::uint64_t version, std::string text) {
  auto made = std::make_shared<config::snapshot>();
  made->id = {.version = version, .hash = base::ContentHash(text)};
  made->text = std::move(text);
  return made;
}

base::result<config::snapshot_ptr> MakeUnchecked(const config::version_id& id,
                                                 std::string text) {
  if (base::ContentHash(text) != id.hash) {
    return base::Fail(base::error_kind::kMalformedMessage, "hash differs");
  }
  return Snapshot(id.version, std::move(text));
}

configuration_store Store() {
  return configuration_store({.make_snapshot = MakeUnchecked});
}

std::string LongText(const std::string& end) {
  return std::string(5000, 'x') + end;
}

TEST_CASE("only a greater version is accepted") {
  configuration_store store = Store();
  CHECK(store.Offer(Snapshot(2, "two")));
  CHECK_FALSE(store.Offer(Snapshot(2, "two again")));
  CHECK_FALSE(store.Offer(Snapshot(1, "one")));
  CHECK(store.Current()->text == "two");
  CHECK(store.Offer(Snapshot(5, "five")));
  CHECK(store.Version() == 5);
}

TEST_CASE("a node that holds an earlier snapshot gets a small delta") {
  configuration_store sender = Store();
  configuration_store receiver = Store();
  sender.Offer(Snapshot(1, LongText("a")));
  receiver.Offer(Snapshot(1, LongText("a")));
  sender.Offer(Snapshot(2, LongText("b")));
  const auto message = sender.MessageFor(receiver.Hash());
  REQUIRE(message.change);
  CHECK(message.text.empty());
  const auto taken = receiver.Apply(message);
  REQUIRE(taken);
  CHECK(*taken);
  CHECK(receiver.Current()->text == LongText("b"));
}

TEST_CASE("a delta on another content is refused, and the whole is taken") {
  configuration_store sender = Store();
  configuration_store receiver = Store();
  sender.Offer(Snapshot(1, LongText("a")));
  sender.Offer(Snapshot(2, LongText("b")));
  receiver.Offer(Snapshot(1, LongText("other")));
  const auto delta = sender.MessageFor(base::ContentHash(LongText("a")));
  CHECK_FALSE(receiver.Apply(delta));
  CHECK(receiver.Version() == 1);
  const auto whole = sender.MessageFor("");
  CHECK(whole.text == LongText("b"));
  REQUIRE(receiver.Apply(whole));
  CHECK(receiver.Version() == 2);
}

TEST_CASE("a text that its hash does not name is refused whole") {
  configuration_store sender = Store();
  configuration_store receiver = Store();
  sender.Offer(Snapshot(1, "one"));
  auto message = sender.MessageFor("");
  message.text += "!";
  CHECK_FALSE(receiver.Apply(message));
  CHECK(receiver.Current() == nullptr);
}

TEST_CASE("the same content under a new version is sent as an empty delta") {
  configuration_store sender = Store();
  configuration_store receiver = Store();
  sender.Offer(Snapshot(3, LongText("a")));
  receiver.Offer(Snapshot(1, LongText("a")));
  const auto message = sender.MessageFor(receiver.Hash());
  REQUIRE(message.change);
  CHECK(message.change->edits.empty());
  REQUIRE(receiver.Apply(message));
  CHECK(receiver.Version() == 3);
}

TEST_CASE("a message that arrives after a greater version changes nothing") {
  configuration_store sender = Store();
  configuration_store receiver = Store();
  sender.Offer(Snapshot(1, "one"));
  const auto late = sender.MessageFor("");
  receiver.Offer(Snapshot(2, "two"));
  const auto taken = receiver.Apply(late);
  REQUIRE(taken);
  CHECK_FALSE(*taken);
  CHECK(receiver.Version() == 2);
}

}  // namespace
}  // namespace fireflyspar::decisions
