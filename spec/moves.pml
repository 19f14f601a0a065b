/* The outcome of a move: three nodes in two data centres, an evaluator in each
 * data centre, an operator who may roll the move back by hand, and the move's
 * object at the platform.
 *
 * Faults, each bounded: the bad version's fault appears at any node at any
 * time, even when the move is almost done; the platform is down; the data
 * centres are partitioned from each other, and the second one from the
 * platform; a node crashes and restarts without its state; messages between
 * nodes are late and reordered. A lost answer to a write is not modelled
 * separately, as it leads to the same read as a conflict.
 *
 * Checks: the outcome is written once and never changes, so the operator gets
 * one report, which is true. A move is done only after every data centre has
 * reported it ready. In the end all nodes agree with the platform. With OUTAGE,
 * the platform and the links between the data centres fail for good before the
 * fault appears; then all nodes of the fault's data centre must stop sending to
 * the new version, and the node of the fault at once. With HEALING, every
 * outage ends.
 *
 * Mutants, for each of which a check must fail:
 *   NO_COMPARE_AND_SET  the platform writes whichever version is current
 *   NO_FINAL_RANK       "rolled back" wins every merge, even over final "done"
 *   NO_ALL_READY        one ready data centre is enough for "done"
 *   NO_VERDICT_GOSSIP   nodes do not pull verdicts that are not yet final
 *   NO_LOCAL_STOP       the node of the fault does not stop by itself
 *   REPORT_FROM_NODE    the operator gets a node's state, not the platform's
 */
#define NODES 3
#define CENTRE(node) (node == 2)
#define EVALUATOR(centre) (centre * 2)  /* Nodes 0 and 2. */
#define ALL_READY 3

/* decisions::move_state. NONE: the node does not know the move. */
#define NONE 0
#define RUNNING 1
#define ROLLED_BACK 2
#define DONE 3
#define SENDS_TO_NEW(node) (state[node] == RUNNING || state[node] == DONE)

/* The move's object at the platform. */
byte object_version = 1;
byte object_state = RUNNING;
byte object_ready;
#define IS_FINAL (object_state != RUNNING)

/* The move's record at each node. */
byte state[NODES];
bool final[NODES];

byte reported;            /* Outcome reported to the operator; NONE: not yet. */
byte fault_node = NODES;  /* Node where the fault appeared; NODES: not yet. */
bool platform_down, partitioned;

/* A message in transit, with an earlier record of its sender. */
byte late_state;
bool late_final;

#ifdef OUTAGE
#define FAULT_MAY_SHOW (platform_down && partitioned)
byte late_left = 0;
byte crash_left = 0;
#else
#define FAULT_MAY_SHOW true
byte late_left = 2;
byte crash_left = 1;
#endif

#define REACHES_PLATFORM(node) \
  (!platform_down && !(partitioned && CENTRE(node)))
#define CAN_TALK(a, b) (!partitioned || CENTRE(a) == CENTRE(b))

/* decisions::Merge: a final record outranks others; else the greater state. */
#ifdef NO_FINAL_RANK
#define OUTRANKS(s, f, node) \
  (state[node] != ROLLED_BACK && (s == ROLLED_BACK || s > state[node]))
#else
#define OUTRANKS(s, f, node) \
  (f > final[node] || (f == final[node] && s > state[node]))
#endif

inline Merge(node, s, f) {
  if
  :: OUTRANKS(s, f, node) -> state[node] = s; final[node] = f
  :: else
  fi
}

/* platform_store::Put of an object that is based on the one read before. */
inline Put(if_version, new_state, new_ready) {
  if
#ifdef NO_COMPARE_AND_SET
  :: true ->
#else
  :: object_version == if_version ->
#endif
     assert(!IS_FINAL || new_state == object_state);
     assert(new_state != DONE || new_ready == ALL_READY);
     object_version++;
     object_state = new_state;
     object_ready = new_ready
  :: else  /* A conflict. */
  fi
}

/* outcome_writer::TryOnce at the evaluator of one data centre. */
proctype evaluator(byte centre) {
  byte version, ready;
  bool finding_is_bad;
end:
  do
  :: atomic {
      REACHES_PLATFORM(EVALUATOR(centre)) && !IS_FINAL &&
      !final[EVALUATOR(centre)] &&
      (state[EVALUATOR(centre)] == ROLLED_BACK ||
       (state[EVALUATOR(centre)] == RUNNING &&
        !(object_ready & (1 << centre)))) ->
      version = object_version;
      ready = object_ready;
      finding_is_bad = (state[EVALUATOR(centre)] == ROLLED_BACK)
    };
    /* Updates the object and writes it. The platform may have become
     * unreachable since the read. */
    atomic {
      if
      :: REACHES_PLATFORM(EVALUATOR(centre)) ->
         if
         :: finding_is_bad -> Put(version, ROLLED_BACK, ready)
         :: else ->
            ready = ready | (1 << centre);
#ifdef NO_ALL_READY
            Put(version, DONE, ready)
#else
            Put(version, (ready == ALL_READY -> DONE : RUNNING), ready)
#endif
         fi
      :: else
      fi;
      version = 0; ready = 0; finding_is_bad = false
    }
  od
}

/* The operator's commands `move take-back` and `move wait`. */
proctype operator() {
  byte version, ready;
  if
  :: atomic {
       !platform_down && !IS_FINAL ->
       version = object_version;
       ready = object_ready
     };
     atomic {
       if
       :: !platform_down -> Put(version, ROLLED_BACK, ready)
       :: else
       fi;
       version = 0; ready = 0
     }
  :: true
  fi;
end:
#ifdef REPORT_FROM_NODE
  atomic { state[0] > RUNNING -> reported = state[0] }
#else
  atomic { !platform_down && IS_FINAL -> reported = object_state }
#endif
}

/* Merges the record of another node if it outranks the node's own. */
inline PullFrom(from) {
#ifdef NO_VERDICT_GOSSIP
  (state[from] == RUNNING || final[from]) &&
#endif
  CAN_TALK(me, from) && OUTRANKS(state[from], final[from], me) ->
  Merge(me, state[from], final[from])
}

active [NODES] proctype node() {
  byte me = _pid;
end:
  do
  /* relay::state::ProcessMove, at the nodes that are relays. */
  :: atomic {
      me != 1 && REACHES_PLATFORM(me) &&
      OUTRANKS(object_state, IS_FINAL, me) -> Merge(me, object_state, IS_FINAL)
    }
  /* mesh::Offer, with the record of each other node. */
  :: atomic { PullFrom((me + 1) % NODES) }
  :: atomic { PullFrom((me + 2) % NODES) }
  /* A message is sent; it arrives at any later time at any node. */
  :: atomic {
      late_left > 0 && state[me] != NONE ->
      late_left--; late_state = state[me]; late_final = final[me]
    }
  :: atomic { late_state != NONE -> Merge(me, late_state, late_final);
              late_state = NONE; late_final = false }
  /* decisions::move_tracker: the new version's fault appears at this node. */
  :: atomic {
      fault_node == NODES && SENDS_TO_NEW(me) && FAULT_MAY_SHOW ->
      fault_node = me;
#ifndef NO_LOCAL_STOP
      if
      :: !final[me] -> state[me] = ROLLED_BACK; assert(!SENDS_TO_NEW(me))
      :: else
      fi
#endif
    }
  /* A crash and a restart without any state. */
  :: atomic {
      crash_left > 0 -> crash_left--; state[me] = NONE; final[me] = false
    }
  od
}

#ifdef OUTAGE
proctype outage() { platform_down = true; partitioned = true }
#else
proctype outage() { platform_down = true; platform_down = false }
proctype partition() { partitioned = true; partitioned = false }
#endif

init {
  byte each;
  atomic {
    run evaluator(0); run evaluator(1); run operator(); run outage();
#ifndef OUTAGE
    run partition()
#endif
  };
  timeout;
  /* No other process can take a step. */
  d_step {
    do
    :: each < NODES ->
#ifdef OUTAGE
       assert(fault_node == NODES || CENTRE(each) != CENTRE(fault_node) ||
              final[each] || !SENDS_TO_NEW(each));
#else
       assert(state[each] == object_state && final[each] == IS_FINAL);
#endif
       each++
    :: else -> break
    od;
    assert(reported == NONE || reported == object_state);
#ifndef OUTAGE
    assert(IS_FINAL && reported != NONE)
#endif
  }
}
