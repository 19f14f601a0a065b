/* Two operators race to put their presets in force at the platform.
 *
 * Faults, bounded: a request or an answer is lost, a write takes effect after
 * its sender gave up, answers come late.
 *
 * Checked: at most one preset is accepted for a version; an operator told
 * "accepted" was, and what was accepted never reverts; one told "conflict"
 * never takes effect; each is told something. The last three are checked where
 * nothing more can happen (`timeout`), which every run comes to.
 *
 * Mutants, for each of which a check must fail:
 *   NO_COMPARE      the platform writes whatever the version is
 *   TRUST_LOST      a lost answer counts as "accepted"
 *   TRUST_CONFLICT  a conflict after a lost answer is not read again
 */
#define OPERATORS 2
#define MAX_VERSION 2  /* Each operator changes the configuration once. */

mtype = { ok, conflict, accepted, rejected, unclear };

/* The platform: `in_force` and what it held at each version. */
byte version = 0;
byte preset[MAX_VERSION + 2];  /* The operator whose preset it is; 0: none. */
byte lose_left = 2;
chan requests = [4] of { byte, byte, byte };  /* Operator, attempt, if_version. */
chan answers[OPERATORS] = [2] of { byte, mtype };
mtype told[OPERATORS];

/* The object API's put: writes only if the version is the expected one. */
active proctype platform() {
  byte operator, attempt, if_version;
end:
  do
  :: atomic {
      requests??operator, attempt, if_version ->
      if
      :: lose_left > 0 -> lose_left--  /* The request is lost. */
      :: true ->
         if
#ifdef NO_COMPARE
         :: true ->
            version = if_version + 1;
#else
         :: version != if_version -> answers[operator]!attempt, conflict
         :: version == if_version ->
            version++;
#endif
            assert(preset[version] == 0);
            preset[version] = operator + 1;
            if
            :: lose_left > 0 -> lose_left--  /* Its answer is lost. */
            :: answers[operator]!attempt, ok
            fi
         fi
      fi;
      operator = 0; attempt = 0; if_version = 0
    }
  od
}

/* The operators' `preset use` (operators/platform_calls.h). */
proctype operator(byte me) {
  byte seen, attempt, answered;
  mtype result;
  atomic { seen = version; attempt = 1; requests!me, attempt, seen };
wait:
  atomic {
    if
    :: answers[me]?answered, result ->
       if
       :: answered != attempt -> goto wait  /* A late answer: ignored. */
       :: else
       fi;
       if
       :: result == ok -> told[me] = accepted; goto over
#ifdef TRUST_CONFLICT
       :: result == conflict -> told[me] = rejected; goto over
#else
       :: result == conflict && attempt == 1 -> told[me] = rejected; goto over
       :: result == conflict && attempt == 2 -> goto read_again
#endif
       fi
    :: true  /* The wait is over without an answer. */
    fi
  };
#ifdef TRUST_LOST
  told[me] = accepted;
  goto over;
#endif
read_again:
  /* A read that shows our operation id proves that the write took effect. */
  atomic {
    if
    :: preset[version] == me + 1 -> told[me] = accepted
    :: else ->
       if
       :: version == seen && attempt == 1 ->
          attempt = 2;
          requests!me, attempt, seen;
          goto wait
       :: else -> told[me] = unclear
       fi
    fi
  };
over:
  skip
}

init {
  byte each;
  bool stands;
  atomic { run operator(0); run operator(1) };
  timeout;
  /* Nothing more can happen. */
  d_step {
    do
    :: each < OPERATORS ->
       stands = (preset[1] == each + 1 || preset[2] == each + 1);
       assert(told[each] != accepted || stands);
       assert(told[each] != rejected || !stands);
       assert(told[each] != 0);
       each++
    :: else -> break
    od
  }
}
