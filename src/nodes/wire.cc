#include "nodes/wire.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

namespace fireflyspar::nodes {
namespace {

using base::error_kind;
using decisions::member_record;
using decisions::move;

std::string ToString(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

std::string_view View(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

// Converts a number to its enumerator; fails if it is greater than `last`.
template <typename Enum>
base::result<Enum> ToEnum(std::uint8_t number, Enum last) {
  if (number > static_cast<std::uint8_t>(last)) {
    return base::Fail(error_kind::kMalformedMessage,
                      "unknown enumerator " + std::to_string(number));
  }
  return static_cast<Enum>(number);
}

// Parses an address; an empty text gives an empty address, which means that the
// sender did not set it.
base::result<base::address> ToAddress(std::string_view text) {
  if (text.empty()) return base::address{};
  auto parsed = base::ParseAddress(text);
  if (parsed) return parsed;
  return base::Fail(error_kind::kMalformedMessage,
                    "bad address: " + parsed.Failure().detail);
}

std::string ToText(const base::address& address) {
  return address.ip.empty() ? "" : address.ToText();
}

void WriteTexts(const std::vector<std::string>& values,
                capnp::List<capnp::Text>::Builder out) {
  for (unsigned i = 0; i < out.size(); ++i) out.set(i, values[i]);
}

std::vector<std::string> ReadTexts(capnp::List<capnp::Text>::Reader in) {
  std::vector<std::string> values;
  values.reserve(in.size());
  for (const auto text : in) values.push_back(ToString(text));
  return values;
}

void WriteAddresses(const std::vector<base::address>& values,
                    capnp::List<capnp::Text>::Builder out) {
  for (unsigned i = 0; i < out.size(); ++i) out.set(i, ToText(values[i]));
}

base::result<std::vector<base::address>> ReadAddresses(
    capnp::List<capnp::Text>::Reader in) {
  std::vector<base::address> values;
  for (const auto text : in) {
    auto address = ToAddress(View(text));
    if (!address) return address.Failure();
    values.push_back(*address);
  }
  return values;
}

template <typename T>
void WriteNumbers(const std::vector<T>& values,
                  typename capnp::List<T>::Builder out) {
  for (unsigned i = 0; i < out.size(); ++i) out.set(i, values[i]);
}

template <typename T>
std::vector<T> ReadNumbers(typename capnp::List<T>::Reader in) {
  std::vector<T> values;
  values.reserve(in.size());
  for (const T number : in) values.push_back(number);
  return values;
}

void Write(const member_record& value, wire::Member::Builder out) {
  out.setNodeId(value.node_id);
  out.setDataCentre(value.data_centre);
  out.setRegion(value.region);
  out.setIncarnation(value.incarnation);
  out.setSequence(value.sequence);
  out.setState(static_cast<std::uint8_t>(value.state));
  out.setRpcAddress(ToText(value.rpc_address));
  out.setGateAddress(ToText(value.gate_address));
  if (value.server == decisions::server_record{}) return;
  auto server = out.initServer();
  server.setService(value.server.service);
  server.setVersion(value.server.version);
  server.setSlots(value.server.slots);
  server.setState(static_cast<std::uint8_t>(value.server.state));
}

base::result<member_record> Read(wire::Member::Reader in) {
  auto rpc_address = ToAddress(View(in.getRpcAddress()));
  if (!rpc_address) return rpc_address.Failure();
  auto gate_address = ToAddress(View(in.getGateAddress()));
  if (!gate_address) return gate_address.Failure();
  auto state = ToEnum(in.getState(), decisions::node_state::kLeft);
  if (!state) return state.Failure();
  const auto server = in.getServer();
  auto server_state =
      ToEnum(server.getState(), decisions::server_state::kDraining);
  if (!server_state) return server_state.Failure();
  return member_record{.node_id = ToString(in.getNodeId()),
                       .data_centre = ToString(in.getDataCentre()),
                       .region = ToString(in.getRegion()),
                       .incarnation = in.getIncarnation(),
                       .sequence = in.getSequence(),
                       .state = *state,
                       .rpc_address = *rpc_address,
                       .gate_address = *gate_address,
                       .server = {.service = ToString(server.getService()),
                                  .version = ToString(server.getVersion()),
                                  .slots = server.getSlots(),
                                  .state = *server_state}};
}

std::int64_t ToMicroseconds(base::instant time) {
  return time.time_since_epoch().count();
}

base::instant ToInstant(std::int64_t microseconds) {
  return base::instant(base::duration(microseconds));
}

void Write(const move& value, wire::Move::Builder out) {
  out.setId(value.id);
  out.setService(value.service);
  out.setOldVersion(value.old_version);
  out.setNewVersion(value.new_version);
  out.setStartMicroseconds(ToMicroseconds(value.start));
  out.setByMicroseconds(ToMicroseconds(value.complete_by));
  out.setOperationId(value.operation_id);
  out.setState(static_cast<std::uint8_t>(value.state));
  out.setIsFinal(value.is_final);
  out.setEvidence(value.evidence);
  WriteTexts(value.ready_data_centres,
             out.initReadyDataCentres(value.ready_data_centres.size()));
  out.setClearedPercent(static_cast<std::uint8_t>(value.proven_percent));
  out.setCautiousUntilMicroseconds(ToMicroseconds(value.share_capped_until));
}

base::result<move> Read(wire::Move::Reader in) {
  auto state = ToEnum(in.getState(), decisions::move_state::kDone);
  if (!state) return state.Failure();
  return move{
      .id = ToString(in.getId()),
      .service = ToString(in.getService()),
      .old_version = ToString(in.getOldVersion()),
      .new_version = ToString(in.getNewVersion()),
      .start = ToInstant(in.getStartMicroseconds()),
      .complete_by = ToInstant(in.getByMicroseconds()),
      .operation_id = ToString(in.getOperationId()),
      .state = *state,
      .is_final = in.getIsFinal(),
      .evidence = ToString(in.getEvidence()),
      .proven_percent = std::min<int>(in.getClearedPercent(), 100),
      .share_capped_until = ToInstant(in.getCautiousUntilMicroseconds()),
      .ready_data_centres = ReadTexts(in.getReadyDataCentres())};
}

// Reads all elements; fails with the first element's failure.
template <typename T, typename List>
base::result<std::vector<T>> ReadAll(List in) {
  std::vector<T> values;
  values.reserve(in.size());
  for (const auto element : in) {
    base::result<T> value = Read(element);
    if (!value) return value.Failure();
    values.push_back(*std::move(value));
  }
  return values;
}

void Write(const config::delta& value, wire::Delta::Builder out) {
  out.setBaseHash(value.base_hash);
  out.setResultHash(value.result_hash);
  auto edits = out.initEdits(value.edits.size());
  for (unsigned i = 0; i < edits.size(); ++i) {
    const config::edit& edit = value.edits[i];
    edits[i].setOffset(edit.offset);
    edits[i].setRemoved(edit.removed);
    edits[i].setAdded(
        kj::arrayPtr(edit.added.data(), edit.added.size()).asBytes());
  }
}

config::delta Read(wire::Delta::Reader in) {
  config::delta value{.base_hash = ToString(in.getBaseHash()),
                      .result_hash = ToString(in.getResultHash())};
  for (const auto edit : in.getEdits()) {
    const auto added = edit.getAdded();
    value.edits.push_back(
        {.offset = edit.getOffset(),
         .removed = edit.getRemoved(),
         .added = std::string(added.asChars().begin(), added.size())});
  }
  return value;
}

void WriteStrata(const std::vector<decisions::stratum_counts>& values,
                 capnp::List<wire::Stratum>::Builder out) {
  for (unsigned i = 0; i < out.size(); ++i) {
    out[i].setRoute(values[i].route);
    out[i].setCalls(values[i].calls);
    out[i].setFailures(values[i].failures);
    out[i].setSlow(values[i].slow);
    out[i].setWasCautious(values[i].was_share_capped);
  }
}

std::vector<decisions::stratum_counts> ReadStrata(
    capnp::List<wire::Stratum>::Reader in) {
  std::vector<decisions::stratum_counts> values;
  values.reserve(in.size());
  for (const auto each : in) {
    values.push_back({.route = ToString(each.getRoute()),
                      .was_share_capped = each.getWasCautious(),
                      .calls = each.getCalls(),
                      .failures = each.getFailures(),
                      .slow = each.getSlow()});
  }
  return values;
}

}  // namespace

void Write(const decisions::gossip& value, wire::Gossip::Builder out) {
  out.setSender(value.sender);
  out.setSenderAddress(ToText(value.sender_address));
  out.setConfiguration(value.configuration);
  out.setRootHash(value.root_hash);
  WriteNumbers(value.bucket_hashes,
               out.initBucketHashes(value.bucket_hashes.size()));
  WriteNumbers(value.listed_buckets,
               out.initListedBuckets(value.listed_buckets.size()));
  auto versions = out.initVersions(value.versions.size());
  for (unsigned i = 0; i < versions.size(); ++i) {
    versions[i].setKey(value.versions[i].key);
    versions[i].setMajor(value.versions[i].major);
    versions[i].setMinor(value.versions[i].minor);
  }
  WriteNumbers(value.requested_keys,
               out.initWanted(value.requested_keys.size()));
  auto members = out.initMembers(value.members.size());
  for (unsigned i = 0; i < members.size(); ++i) {
    Write(value.members[i], members[i]);
  }
  auto moves = out.initMoves(value.moves.size());
  for (unsigned i = 0; i < moves.size(); ++i) Write(value.moves[i], moves[i]);
  WriteTexts(value.tombstones, out.initForgottenMoves(value.tombstones.size()));
  WriteAddresses(value.try_instead,
                 out.initTryInstead(value.try_instead.size()));
}

base::result<decisions::gossip> Read(wire::Gossip::Reader in) {
  auto address = ToAddress(View(in.getSenderAddress()));
  if (!address) return address.Failure();
  auto members = ReadAll<member_record>(in.getMembers());
  if (!members) return members.Failure();
  auto moves = ReadAll<move>(in.getMoves());
  if (!moves) return moves.Failure();
  auto try_instead = ReadAddresses(in.getTryInstead());
  if (!try_instead) return try_instead.Failure();
  decisions::gossip value{
      .sender = ToString(in.getSender()),
      .sender_address = *address,
      .configuration = in.getConfiguration(),
      .root_hash = in.getRootHash(),
      .bucket_hashes = ReadNumbers<std::uint64_t>(in.getBucketHashes()),
      .listed_buckets = ReadNumbers<std::uint32_t>(in.getListedBuckets()),
      .requested_keys = ReadNumbers<std::uint64_t>(in.getWanted()),
      .members = *std::move(members),
      .moves = *std::move(moves),
      .tombstones = ReadTexts(in.getForgottenMoves()),
      .try_instead = *std::move(try_instead)};
  for (const auto version : in.getVersions()) {
    value.versions.push_back({.key = version.getKey(),
                              .major = version.getMajor(),
                              .minor = version.getMinor()});
  }
  return value;
}

void Write(const fetch_answer& value, wire::Configuration::Builder out) {
  if (const auto* peers = std::get_if<std::vector<base::address>>(&value)) {
    WriteAddresses(*peers, out.initTryInstead(peers->size()));
    return;
  }
  const auto* message = std::get_if<decisions::configuration_message>(&value);
  if (message == nullptr) return;
  out.setVersion(message->id.version);
  out.setHash(message->id.hash);
  if (message->change) {
    Write(*message->change, out.initDelta());
  } else {
    out.setText(message->text);
  }
}

base::result<fetch_answer> Read(wire::Configuration::Reader in) {
  decisions::configuration_message message{
      .id = {.version = in.getVersion(), .hash = ToString(in.getHash())}};
  switch (in.which()) {
    case wire::Configuration::NONE:
      return fetch_answer();
    case wire::Configuration::TRY_INSTEAD: {
      auto peers = ReadAddresses(in.getTryInstead());
      if (!peers) return peers.Failure();
      return fetch_answer(*std::move(peers));
    }
    case wire::Configuration::DELTA:
      message.change = Read(in.getDelta());
      return fetch_answer(std::move(message));
    case wire::Configuration::TEXT:
      message.text = ToString(in.getText());
      return fetch_answer(std::move(message));
  }
  return base::Fail(error_kind::kMalformedMessage,
                    "unknown kind of configuration message");
}

void Write(const decisions::evidence_report& value,
           wire::Evidence::Builder out) {
  out.setMoveId(value.move_id);
  out.setNodeId(value.node_id);
  out.setDataCentre(value.data_centre);
  out.setIncarnation(value.incarnation);
  out.setSequence(value.sequence);
  WriteStrata(value.old_version, out.initOldVersion(value.old_version.size()));
  WriteStrata(value.new_version, out.initNewVersion(value.new_version.size()));
}

decisions::evidence_report Read(wire::Evidence::Reader in) {
  return {.move_id = ToString(in.getMoveId()),
          .node_id = ToString(in.getNodeId()),
          .data_centre = ToString(in.getDataCentre()),
          .incarnation = in.getIncarnation(),
          .sequence = in.getSequence(),
          .old_version = ReadStrata(in.getOldVersion()),
          .new_version = ReadStrata(in.getNewVersion())};
}

}  // namespace fireflyspar::nodes
