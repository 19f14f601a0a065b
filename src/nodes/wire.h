// Converts between the structs of decisions/ and config/ and their Cap'n Proto
// messages (peer.capnp).
// Read() checks what the codec does not: that addresses are numeric and that
// enumerators are known. If either check fails, Read() fails with
// kMalformedMessage and nothing of the message is used.
#ifndef FIREFLYSPAR_NODES_WIRE_H_
#define FIREFLYSPAR_NODES_WIRE_H_

// clang-format off: this must precede the RPC library's headers.
#include "nodes/kj_string_equality.h"
// clang-format on

#include <variant>
#include <vector>

#include "base/address.h"
#include "base/result.h"
#include "decisions/configuration_store.h"
#include "decisions/evidence_report.h"
#include "decisions/gossip.h"
#include "nodes/peer.capnp.h"

namespace fireflyspar::nodes {

// The answer to a request for the configuration: nothing if the node has none,
// the configuration, or the addresses of other peers to ask.
using fetch_answer =
    std::variant<std::monostate, decisions::configuration_message,
                 std::vector<base::address>>;

void Write(const decisions::gossip& value, wire::Gossip::Builder out);
base::result<decisions::gossip> Read(wire::Gossip::Reader in);

void Write(const fetch_answer& value, wire::Configuration::Builder out);
base::result<fetch_answer> Read(wire::Configuration::Reader in);

void Write(const decisions::evidence_report& value,
           wire::Evidence::Builder out);
decisions::evidence_report Read(wire::Evidence::Reader in);

}  // namespace fireflyspar::nodes

#endif  // FIREFLYSPAR_NODES_WIRE_H_
