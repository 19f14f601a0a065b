# The RPC interface between nodes and its messages. The types mirror the structs
# of decisions/ (gossip.h, member.h, move.h, evidence_report.h) and of config/;
# nodes/wire.h converts between the two.
@0xbe61470e15d19c8e;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("fireflyspar::nodes::wire");

struct Server {
  service @0 :Text;
  version @1 :Text;
  slots @2 :Int32;
  state @3 :UInt8;
}

struct Member {
  nodeId @0 :Text;
  dataCentre @1 :Text;
  region @2 :Text;
  incarnation @3 :UInt64;
  sequence @4 :UInt64;
  state @5 :UInt8;
  rpcAddress @6 :Text;
  gateAddress @7 :Text;
  server @8 :Server;
}

struct Move {
  id @0 :Text;
  service @1 :Text;
  oldVersion @2 :Text;
  newVersion @3 :Text;
  startMicroseconds @4 :Int64;
  byMicroseconds @5 :Int64;
  operationId @6 :Text;
  state @7 :UInt8;
  isFinal @8 :Bool;
  evidence @9 :Text;
  readyDataCentres @10 :List(Text);
  clearedPercent @11 :UInt8;
  cautiousUntilMicroseconds @12 :Int64;
}

struct RecordVersion {
  key @0 :UInt64;
  major @1 :UInt64;
  minor @2 :UInt64;
}

struct Gossip {
  sender @0 :Text;
  senderAddress @1 :Text;
  configuration @2 :UInt64;
  rootHash @3 :UInt64;
  bucketHashes @4 :List(UInt64);
  listedBuckets @5 :List(UInt32);
  versions @6 :List(RecordVersion);
  wanted @7 :List(UInt64);
  members @8 :List(Member);
  moves @9 :List(Move);
  forgottenMoves @10 :List(Text);
  tryInstead @11 :List(Text);
}

struct Edit {
  offset @0 :UInt32;
  removed @1 :UInt32;
  added @2 :Data;
}

struct Delta {
  baseHash @0 :Text;
  resultHash @1 :Text;
  edits @2 :List(Edit);
}

# The answer to a request for the configuration: nothing, a delta, the full
# text, or, when the sender has reached its limit of full texts, other peers to
# ask instead.
struct Configuration {
  version @0 :UInt64;
  hash @1 :Text;
  union {
    none @2 :Void;
    delta @3 :Delta;
    text @4 :Text;
    tryInstead @5 :List(Text);
  }
}

struct Stratum {
  route @0 :Text;
  calls @1 :UInt64;
  failures @2 :UInt64;
  slow @3 :UInt64;
  wasCautious @4 :Bool;
}

struct Evidence {
  moveId @0 :Text;
  nodeId @1 :Text;
  dataCentre @2 :Text;
  incarnation @3 :UInt64;
  sequence @4 :UInt64;
  oldVersion @5 :List(Stratum);
  newVersion @6 :List(Stratum);
}

interface Peer {
  # Merges the message and answers with the records that the sender lacks.
  exchange @0 (message :Gossip) -> (answer :Gossip);

  # Probes the node at the target address on behalf of the sender.
  probe @1 (sender :Text, target :Text) -> (reached :Bool);

  # Returns this node's configuration, as a delta if the sender's content, given
  # by its hash, is known here.
  fetch @2 (sender :Text, haveHash :Text) -> (answer :Configuration);

  # Delivers evidence to this node as an evaluator of the move.
  report @3 (sender :Text, report :Evidence) -> ();
}
