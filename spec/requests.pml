/* A request that may not be repeated, sent three times with one id by way of
 * any router, and the two nodes that keep its claim. Whether answers match
 * requests is in exchanges.pml.
 *
 * The routers' views differ: either node may be taken for the id's home, and
 * the other one is then its guard. Faults, each bounded: nodes crash and come
 * back knowing nothing, a guard's word is lost, a home gives up on its guard.
 * Anything may be paused at any point for any time, which is how processes
 * interleave here: an id may be past its life when its holder wakes up. Clock
 * skew is not in the model; the code adds it to each fence.
 *
 * Checked: the request runs at most once; "not run" is true when it is said,
 * and the try that was answered so never runs later.
 *
 * Mutants, for each of which a check must fail. ONLY_AT_MOST_ONCE leaves the
 * other checks out, to show that this one fails too.
 *   NO_CLAIM        the home does not record whom it has begun
 *   NO_GUARD        the home's own claim is enough
 *   NO_START_FENCE  a process that has just started takes every id
 *   NO_AGE_CHECK    an id past its life is taken
 *   FENCE_NOT_RUN   ids refused by age or fence are answered "not run"
 *   RUN_AFTER_ALL   a home that gave up on its guard uses a late grant
 */
#define TRIES 3
#define NOBODY 0
#define GATE(gate) (gate + 1)  /* A claimant; NOBODY is zero. */

mtype = { ran, not_run, unknown, granted, refused };

chan calls[2] = [4] of { byte };          /* Try. */
chan asks[2] = [4] of { byte, byte };     /* Home, try. */
chan grants[2] = [4] of { byte, mtype };  /* Try, verdict. */

byte claim[2];       /* The claimant that the node's table holds. */
bool is_fresh[2];    /* Started after the id was born. */
bool is_old;         /* The id is past its life. */
byte crash_left = 2;
byte lose_left = 1;

/* What only the checks see. */
byte runs;
byte told_not_run;   /* Bit t: try t was answered "not run". */

/* request_claims::CheckAge. */
#ifdef NO_AGE_CHECK
#define TOO_OLD false
#else
#define TOO_OLD is_old
#endif
#ifdef NO_START_FENCE
#define FENCED(gate) false
#else
#define FENCED(gate) is_fresh[gate]
#endif

/* What the caller is told of a try. */
inline Answer(number, outcome) {
  if
  :: outcome == not_run ->
#ifndef ONLY_AT_MOST_ONCE
     assert(runs == 0);
#endif
     told_not_run = told_not_run | (1 << number)
  :: else
  fi
}

/* One id, tried again by way of any router; request_keepers::KeepersOf: the
 * routers' views differ. */
proctype tries() {
  byte number;
  do
  :: number < TRIES ->
     if
     :: calls[0]!number
     :: calls[1]!number
     fi;
     number++
  :: else -> break
  od
}

active [2] proctype gate() {
  byte me = _pid;
  byte number, asker;
  bool waits;     /* As the id's home, for the guard's word. */
  bool may_run;   /* The guard granted it; not dispatched yet. */
  byte held;      /* The try that waits or may run. */
  mtype verdict;
end:
  do
  /* As the home: request_claims::Begin. */
  :: atomic {
      calls[me]?number ->
      if
      :: TOO_OLD || FENCED(me) ->
#ifdef FENCE_NOT_RUN
         Answer(number, not_run)
#else
         Answer(number, unknown)
#endif
      :: else ->
         if
         :: claim[me] != NOBODY || waits || may_run -> Answer(number, unknown)
         :: else ->
            if
            :: Answer(number, not_run)  /* Shed or draining. */
            :: true ->
#ifndef NO_CLAIM
               claim[me] = GATE(me);
#endif
               held = number;
#ifdef NO_GUARD
               may_run = true
#else
               waits = true;
               asks[1 - me]!me, number
#endif
            fi
         fi
      fi;
      number = 0
    }
  /* As the guard: request_claims::Guard. */
  :: atomic {
      asks[me]?asker, number ->
      if
      :: TOO_OLD || FENCED(me) -> verdict = refused
      :: else ->
         if
         :: claim[me] == NOBODY || claim[me] == GATE(asker) ->
            claim[me] = GATE(asker);
            verdict = granted
         :: else -> verdict = refused
         fi
      fi;
      if
      :: grants[asker]!number, verdict
      :: lose_left > 0 -> lose_left--
      fi;
      asker = 0; number = 0; verdict = 0
    }
  /* The guard's word comes to the home. */
  :: atomic {
      grants[me]?number, verdict ->
      if
#ifdef RUN_AFTER_ALL
      :: verdict == granted -> waits = false; may_run = true
#else
      :: verdict == granted && waits && number == held ->
         waits = false; may_run = true
#endif
      :: verdict == refused && waits && number == held ->
         waits = false;
         if  /* request_claims::Release */
         :: claim[me] == GATE(me) -> claim[me] = NOBODY
         :: else
         fi;
         Answer(held, unknown)
      :: else
      fi;
      number = 0; verdict = 0
    }
  /* The guard's word did not come in time: nothing was run. */
  :: atomic {
      waits ->
      waits = false;
      if
      :: claim[me] == GATE(me) -> claim[me] = NOBODY
      :: else
      fi;
      Answer(held, not_run)
    }
  /* The dispatch, at any time after the grant. */
  :: atomic {
      may_run ->
      may_run = false;
#ifndef ONLY_AT_MOST_ONCE
      assert(!(told_not_run & (1 << held)));
#endif
      runs++;
      assert(runs <= 1);
      Answer(held, ran)
    }
  /* request_claims::Prune: what is past its life is forgotten. */
  :: atomic { is_old && claim[me] != NOBODY -> claim[me] = NOBODY }
  /* A crash and a start with an empty table. */
  :: atomic {
      crash_left > 0 ->
      crash_left--;
      claim[me] = NOBODY; waits = false; may_run = false;
      held = 0;
      is_fresh[me] = true
    }
  od
}

proctype age() { is_old = true }

init {
  atomic { run tries(); run age() }
}
