/* A move's outcome: three nodes in two data centres, a judge in each, an
 * operator who may take the move back by hand, and its object at the platform.
 *
 * Faults, each bounded: the bad version's fault shows at any node at any time,
 * also when the move is almost done; the platform is down; the data centres are
 * cut off from each other and the second from the platform; a node crashes and
 * comes back knowing nothing; messages between nodes come late and crossed. A
 * write's answer that is lost leads to the same read as a conflict.
 *
 * Checked: the outcome is written once and never changes, so that the operator
 * is told once and truly; done needs every data centre's word; in the end all
 * nodes agree with the platform. In the part OUTAGE the platform and the links
 * between data centres are gone for good before the fault shows: all nodes of
 * that data centre stop sending to the new version, the first one at once. In
 * the part HEALING every outage ends.
 *
 * Mutants, for each of which a check must fail:
 *   NO_COMPARE     the platform writes whatever the object's version is
 *   NO_FINAL_RANK  "taken back" wins every merge, even over a final "done"
 *   NO_ALL_READY   one data centre's word is enough
 *   NO_SPREADING   nodes do not hear verdicts that are not final
 *   NO_OWN_STOP    a node that sees the fault waits to be told
 *   TOLD_BY_NODE   the operator is told what a node holds
 */
#define NODES 3
#define CENTRE(node) (node == 2)
#define JUDGE(centre) (centre * 2)  /* Nodes 0 and 2. */
#define ALL_READY 3

/* decisions::move_state; a node that knows nothing of the move is first. */
#define NONE 0
#define RUNNING 1
#define TAKEN_BACK 2
#define DONE 3
#define SENDS(node) (state[node] == RUNNING || state[node] == DONE)

/* The move's object at the platform. */
byte object_version = 1;
byte object_state = RUNNING;
byte object_ready;
#define IS_FINAL (object_state != RUNNING)

/* What each node holds. */
byte state[NODES];
bool final[NODES];

byte told;            /* What the operator was told; NONE: nothing yet. */
byte seen_by = NODES; /* The node at which the fault showed. */
bool down, cut;

/* A message on its way, of the fields of a node some time ago. */
byte late_state;
bool late_final;

#ifdef OUTAGE
#define FAULT_MAY_SHOW (down && cut)
byte late_left = 0;
byte crash_left = 0;
#else
#define FAULT_MAY_SHOW true
byte late_left = 2;
byte crash_left = 1;
#endif

#define REACHES_PLATFORM(node) (!down && !(cut && CENTRE(node)))
#define CAN_TALK(a, b) (!cut || CENTRE(a) == CENTRE(b))

/* decisions::Merge: final outcomes first, then the greater state. */
#ifdef NO_FINAL_RANK
#define OUTRANKS(s, f, node) \
  (state[node] != TAKEN_BACK && (s == TAKEN_BACK || s > state[node]))
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

/* platform_store::Put of an object joined from what was read. */
inline Put(if_version, new_state, new_ready) {
  if
#ifdef NO_COMPARE
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

/* outcome_writer::TryOnce, by the judge of one data centre. */
proctype judge(byte centre) {
  byte version, ready;
  bool finding_is_bad;
end:
  do
  :: atomic {
      REACHES_PLATFORM(JUDGE(centre)) && !IS_FINAL && !final[JUDGE(centre)] &&
      (state[JUDGE(centre)] == TAKEN_BACK ||
       (state[JUDGE(centre)] == RUNNING && !(object_ready & (1 << centre)))) ->
      version = object_version;
      ready = object_ready;
      finding_is_bad = (state[JUDGE(centre)] == TAKEN_BACK)
    };
    /* Join, and the put: the platform may have been cut off in between. */
    atomic {
      if
      :: REACHES_PLATFORM(JUDGE(centre)) ->
         if
         :: finding_is_bad -> Put(version, TAKEN_BACK, ready)
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

/* operators: `move take-back` and `move wait`. */
proctype operator() {
  byte version, ready;
  if
  :: atomic { !down && !IS_FINAL -> version = object_version; ready = object_ready };
     atomic {
       if
       :: !down -> Put(version, TAKEN_BACK, ready)
       :: else
       fi;
       version = 0; ready = 0
     }
  :: true
  fi;
end:
#ifdef TOLD_BY_NODE
  atomic { state[0] > RUNNING -> told = state[0] }
#else
  atomic { !down && IS_FINAL -> told = object_state }
#endif
}

inline Hear(from) {
#ifdef NO_SPREADING
  (state[from] == RUNNING || final[from]) &&
#endif
  CAN_TALK(me, from) && OUTRANKS(state[from], final[from], me) ->
  Merge(me, state[from], final[from])
}

active [NODES] proctype node() {
  byte me = _pid;
end:
  do
  /* relay::state::TakeMove, at the nodes that are relays. */
  :: atomic {
      me != 1 && REACHES_PLATFORM(me) &&
      OUTRANKS(object_state, IS_FINAL, me) -> Merge(me, object_state, IS_FINAL)
    }
  /* mesh::Offer, from every other node. */
  :: atomic { Hear((me + 1) % NODES) }
  :: atomic { Hear((me + 2) % NODES) }
  /* A message is sent, and comes in at any time later at any node. */
  :: atomic {
      late_left > 0 && state[me] != NONE ->
      late_left--; late_state = state[me]; late_final = final[me]
    }
  :: atomic { late_state != NONE -> Merge(me, late_state, late_final);
              late_state = NONE; late_final = false }
  /* move_tracker: the new version's fault shows here. */
  :: atomic {
      seen_by == NODES && SENDS(me) && FAULT_MAY_SHOW ->
      seen_by = me;
#ifndef NO_OWN_STOP
      if
      :: !final[me] -> state[me] = TAKEN_BACK; assert(!SENDS(me))
      :: else
      fi
#endif
    }
  :: atomic { crash_left > 0 -> crash_left--; state[me] = NONE; final[me] = false }
  od
}

#ifdef OUTAGE
proctype outage() { down = true; cut = true }
#else
proctype outage() { down = true; down = false }
proctype partition() { cut = true; cut = false }
#endif

init {
  byte each;
  atomic {
    run judge(0); run judge(1); run operator(); run outage();
#ifndef OUTAGE
    run partition()
#endif
  };
  timeout;
  /* Nothing more can happen. */
  d_step {
    do
    :: each < NODES ->
#ifdef OUTAGE
       assert(seen_by == NODES || CENTRE(each) != CENTRE(seen_by) ||
              final[each] || !SENDS(each));
#else
       assert(state[each] == object_state && final[each] == IS_FINAL);
#endif
       each++
    :: else -> break
    od;
    assert(told == NONE || told == object_state);
#ifndef OUTAGE
    assert(IS_FINAL && told != NONE)
#endif
  }
}
