/* The configuration in force spreads from the platform to three nodes in two
 * data centres; two of the nodes are relays. acceptance.pml models how a
 * configuration comes in force; here the version is changed twice.
 *
 * Faults, each bounded so that they stop: stale watch answers; pushes between
 * nodes that are lost, duplicated and reordered; a crash and restart of a node
 * without its state; a partition between the data centres (the platform stays
 * reachable from the first); a platform outage.
 *
 * Checks: a node's version never decreases until it restarts. After the faults
 * have stopped, every node has the version in force. The latter is checked when
 * no process can take another step (`timeout`); as every fault and every step
 * is bounded, each run reaches that state.
 *
 * Mutants, for each of which a check must fail:
 *   NO_VERSION_CHECK  a node accepts any version offered to it
 *   NO_RESYNC         a relay assumes that each watch answer is complete
 *   NO_ANTI_ENTROPY   nodes push, but never compare their versions
 */
#define NODES 3
#define IS_RELAY(node) (node != 1)
#define IN_SECOND_CENTRE(node) (node == 2)
#define CAN_TALK(a, b) \
  (!partitioned || IN_SECOND_CENTRE(a) == IN_SECOND_CENTRE(b))
#define REACHES_PLATFORM(node) \
  (!platform_down && !(partitioned && IN_SECOND_CENTRE(node)))

byte version = 0;          /* The version in force at the platform. */
byte node_version[NODES];  /* The version in force at each node. */
byte watched[NODES];       /* Latest version returned by a relay's watch. */
byte pushed[NODES];        /* Bit v: version v is in transit to the node. */

/* The number of faults of each kind that may still occur. */
byte stale_left = 2;
byte drop_left = 1;
byte double_left = 1;
byte crash_left = 1;
bool partitioned = false;
bool platform_down = false;

/* mesh::Offer: accepts a greater version and pushes it to the node's peers. */
inline Offer(node, offered) {
  if
#ifdef NO_VERSION_CHECK
  :: offered != node_version[node] ->
#else
  :: offered > node_version[node] ->
#endif
     assert(offered >= node_version[node]);
     node_version[node] = offered;
     peer = 0;
     do
     :: peer < NODES ->
        if
        :: peer != node && CAN_TALK(node, peer) ->
           pushed[peer] = pushed[peer] | (1 << offered)
        :: else
        fi;
        peer++
     :: else -> break
     od;
     peer = 0
  :: else
  fi
}

/* A comparison of digests: pulls a peer's version if it is greater. */
inline Pull(from) {
  CAN_TALK(me, from) && node_version[from] > node_version[me] ->
  Offer(me, node_version[from])
}

active [NODES] proctype node() {
  byte me = _pid;
  byte peer, got;
end:
  do
  /* relay::state::Step: a watch answers, with the new or with stale content. */
  :: atomic {
      IS_RELAY(me) && REACHES_PLATFORM(me) && watched[me] < version ->
      if
      :: got = version
      :: stale_left > 0 -> stale_left--; got = watched[me]
      fi;
      watched[me] = version;
      Offer(me, got);
      got = 0
    }
#ifndef NO_RESYNC
  /* relay::state::Resync: all objects are periodically read again. */
  :: atomic {
      IS_RELAY(me) && REACHES_PLATFORM(me) && watched[me] == version &&
      node_version[me] < version -> watched[me] = 0
    }
#endif
  /* A push arrives, in any order, is lost, or will arrive again. */
  :: atomic {
      pushed[me] != 0 ->
      if
      :: pushed[me] & 2 -> got = 1
      :: pushed[me] & 4 -> got = 2
      fi;
      if
      :: pushed[me] = pushed[me] & ~(1 << got); Offer(me, got)
      :: double_left > 0 -> double_left--; Offer(me, got)
      :: drop_left > 0 ->
         drop_left--;
         pushed[me] = pushed[me] & ~(1 << got)
      fi;
      got = 0
    }
#ifndef NO_ANTI_ENTROPY
  /* decisions::dissemination: peers compare their versions. */
  :: atomic { Pull((me + 1) % NODES) }
  :: atomic { Pull((me + 2) % NODES) }
#endif
  /* A crash and a restart without any state. */
  :: atomic {
      crash_left > 0 -> crash_left--; node_version[me] = 0; watched[me] = 0
    }
  od
}

proctype writer() { version = 1; version = 2 }

proctype partition() { partitioned = true; partitioned = false }

proctype outage() { platform_down = true; platform_down = false }

init {
  byte each;
  atomic { run writer(); run partition(); run outage() };
  timeout;
  /* The faults have stopped and all messages are delivered. */
  d_step {
    do
    :: each < NODES -> assert(node_version[each] == version); each++
    :: else -> break
    od
  }
}
