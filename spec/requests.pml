/* A request that must run at most once, sent three times with one id through
 * any router, and the two nodes that record its claim. exchanges.pml models how
 * answers are matched to requests.
 *
 * The routers' views differ: a router may choose either node as the id's home,
 * and the other one is then its guard. Faults, each bounded: nodes crash and
 * restart without their state, a guard's reply is lost, a home stops waiting
 * for its guard. Any process may pause at any point for any time, as processes
 * interleave freely in the model; so an id may have expired by the time its
 * holder continues. Clock skew is not modelled; the code adds it to each fence.
 *
 * Checks: the request runs at most once. An answer "not run" is true when it is
 * sent, and the try that got it never runs later.
 *
 * Mutants, for each of which a check must fail. ONLY_AT_MOST_ONCE leaves out
 * the other checks, to show that the first one fails too.
 *   NO_CLAIM        the home does not record the claims that it grants
 *   NO_GUARD        the claim at the home alone is enough
 *   NO_START_FENCE  a process accepts ids created before it started
 *   NO_AGE_CHECK    expired ids are accepted
 *   FENCE_NOT_RUN   ids refused by age or start fence are answered "not run"
 *   USE_LATE_GRANT  a home runs the request on a grant that came too late
 */
#define TRIES 3
#define NO_CLAIMANT 0
#define GATE(gate) (gate + 1)  /* The gate as a claimant; 0 is NO_CLAIMANT. */

mtype = { ran, not_run, unknown, granted, refused };

chan calls[2] = [4] of { byte };                 /* Try. */
chan guard_requests[2] = [4] of { byte, byte };  /* Home, try. */
chan guard_replies[2] = [4] of { byte, mtype };  /* Try, verdict. */

byte claim[2];                   /* The claimant in each node's table. */
bool started_after_creation[2];  /* The node started after the id's creation. */
bool is_expired;                 /* The id's lifetime has ended. */
byte crash_left = 2;             /* Crashes that may still occur. */
byte lose_left = 1;              /* Guard replies that may still be lost. */

/* Used by the checks alone. */
byte runs;
byte reported_not_run;  /* Bit t: try t was answered "not run". */

/* request_claims::CheckAge. */
#ifdef NO_AGE_CHECK
#define EXPIRED false
#else
#define EXPIRED is_expired
#endif
#ifdef NO_START_FENCE
#define FENCED(gate) false
#else
#define FENCED(gate) started_after_creation[gate]
#endif

/* Answers the caller with the outcome of a try. */
inline Answer(number, outcome) {
  if
  :: outcome == not_run ->
#ifndef ONLY_AT_MOST_ONCE
     assert(runs == 0);
#endif
     reported_not_run = reported_not_run | (1 << number)
  :: else
  fi
}

/* The tries of one id. Each goes through any router, which chooses the id's
 * home and guard by its own view of the nodes
 * (claim_holder_selector::FindClaimHolders). */
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
  bool awaits_guard;  /* As the home, it waits for the guard's reply. */
  bool may_run;       /* The guard granted the claim; not dispatched yet. */
  byte pending_try;   /* The try that waits or may run. */
  mtype verdict;
end:
  do
  /* As the home: request_claims::Begin. */
  :: atomic {
      calls[me]?number ->
      if
      :: EXPIRED || FENCED(me) ->
#ifdef FENCE_NOT_RUN
         Answer(number, not_run)
#else
         Answer(number, unknown)
#endif
      :: else ->
         if
         :: claim[me] != NO_CLAIMANT || awaits_guard || may_run ->
            Answer(number, unknown)
         :: else ->
            if
            :: Answer(number, not_run)  /* Shed or draining. */
            :: true ->
#ifndef NO_CLAIM
               claim[me] = GATE(me);
#endif
               pending_try = number;
#ifdef NO_GUARD
               may_run = true
#else
               awaits_guard = true;
               guard_requests[1 - me]!me, number
#endif
            fi
         fi
      fi;
      number = 0
    }
  /* As the guard: request_claims::Guard. */
  :: atomic {
      guard_requests[me]?asker, number ->
      if
      :: EXPIRED || FENCED(me) -> verdict = refused
      :: else ->
         if
         :: claim[me] == NO_CLAIMANT || claim[me] == GATE(asker) ->
            claim[me] = GATE(asker);
            verdict = granted
         :: else -> verdict = refused
         fi
      fi;
      if
      :: guard_replies[asker]!number, verdict
      :: lose_left > 0 -> lose_left--
      fi;
      asker = 0; number = 0; verdict = 0
    }
  /* The guard's reply arrives at the home. */
  :: atomic {
      guard_replies[me]?number, verdict ->
      if
#ifdef USE_LATE_GRANT
      :: verdict == granted -> awaits_guard = false; may_run = true
#else
      :: verdict == granted && awaits_guard && number == pending_try ->
         awaits_guard = false; may_run = true
#endif
      :: verdict == refused && awaits_guard && number == pending_try ->
         awaits_guard = false;
         if  /* request_claims::Release */
         :: claim[me] == GATE(me) -> claim[me] = NO_CLAIMANT
         :: else
         fi;
         Answer(pending_try, unknown)
      :: else
      fi;
      number = 0; verdict = 0
    }
  /* The guard's reply did not arrive in time; the request was not run. */
  :: atomic {
      awaits_guard ->
      awaits_guard = false;
      if
      :: claim[me] == GATE(me) -> claim[me] = NO_CLAIMANT
      :: else
      fi;
      Answer(pending_try, not_run)
    }
  /* The request is dispatched, at any time after the grant. */
  :: atomic {
      may_run ->
      may_run = false;
#ifndef ONLY_AT_MOST_ONCE
      assert(!(reported_not_run & (1 << pending_try)));
#endif
      runs++;
      assert(runs <= 1);
      Answer(pending_try, ran)
    }
  /* request_claims::Prune: expired claims are deleted. */
  :: atomic {
      is_expired && claim[me] != NO_CLAIMANT -> claim[me] = NO_CLAIMANT
    }
  /* A crash and a restart with an empty table. */
  :: atomic {
      crash_left > 0 ->
      crash_left--;
      claim[me] = NO_CLAIMANT; awaits_guard = false; may_run = false;
      pending_try = 0;
      started_after_creation[me] = true
    }
  od
}

proctype expire() { is_expired = true }

init {
  atomic { run tries(); run expire() }
}
