/* The configuration in force spreads from the platform to three nodes in two
 * data centres, two of them relays. How it comes to be in force is in
 * acceptance.pml; here it just changes, twice.
 *
 * Faults, each bounded so that they stop: stale watch answers; pushes between
 * nodes lost, doubled and crossed; a node's crash and fresh restart; a partition
 * between the data centres (the platform stays with the first); a platform
 * outage.
 *
 * Checked: no node goes back within one life; once faults have stopped, every
 * node has the version in force. The latter is checked where nothing more can
 * happen (`timeout`); as every fault and every step is bounded, each run comes
 * there.
 *
 * Mutants, for each of which a check must fail:
 *   NO_VERSION_GUARD  a node takes any version offered to it
 *   NO_RESYNC         a relay trusts each watch answer to be whole
 *   NO_ANTI_ENTROPY   nodes push, and never compare what they have
 */
#define NODES 3
#define IS_RELAY(node) (node != 1)
#define IN_SECOND_CENTRE(node) (node == 2)
#define CAN_TALK(a, b) (!cut || IN_SECOND_CENTRE(a) == IN_SECOND_CENTRE(b))
#define REACHES_PLATFORM(node) (!down && !(cut && IN_SECOND_CENTRE(node)))

byte version = 0;     /* In force at the platform. */
byte have[NODES];     /* In force at the node. */
byte watched[NODES];  /* Up to which version a relay's watch has answered. */
byte pushed[NODES];   /* Bit v: version v is on its way to the node. */

/* Faults that may still come. */
byte stale_left = 2;
byte drop_left = 1;
byte double_left = 1;
byte crash_left = 1;
bool cut = false;
bool down = false;

/* mesh::Offer: takes a greater version and pushes it to its peers. */
inline Offer(node, offered) {
  if
#ifdef NO_VERSION_GUARD
  :: offered != have[node] ->
#else
  :: offered > have[node] ->
#endif
     assert(offered >= have[node]);
     have[node] = offered;
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

/* The other side of a comparison of digests has more: it is pulled. */
inline Pull(from) {
  CAN_TALK(me, from) && have[from] > have[me] -> Offer(me, have[from])
}

active [NODES] proctype node() {
  byte me = _pid;
  byte peer, got;
end:
  do
  /* relay::state::Step: a watch answers, wholly or with old content. */
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
  /* relay::state::Resync: everything is asked for again from time to time. */
  :: atomic {
      IS_RELAY(me) && REACHES_PLATFORM(me) && watched[me] == version &&
      have[me] < version -> watched[me] = 0
    }
#endif
  /* A push comes in, in any order, is lost, or comes once more later. */
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
  /* decisions::dissemination: peers compare what they have. */
  :: atomic { Pull((me + 1) % NODES) }
  :: atomic { Pull((me + 2) % NODES) }
#endif
  /* A crash and a fresh start: a new life, which knows nothing. */
  :: atomic {
      crash_left > 0 -> crash_left--; have[me] = 0; watched[me] = 0
    }
  od
}

proctype writer() { version = 1; version = 2 }

proctype partition() { cut = true; cut = false }

proctype outage() { down = true; down = false }

init {
  byte each;
  atomic { run writer(); run partition(); run outage() };
  timeout;
  /* Nothing more can happen: faults have stopped and all is delivered. */
  d_step {
    do
    :: each < NODES -> assert(have[each] == version); each++
    :: else -> break
    od
  }
}
