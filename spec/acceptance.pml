/* Two operators try to put their presets in force at the platform at the same
 * time.
 *
 * Faults, bounded in number: a request or an answer is lost, a write takes
 * effect after its sender gave up, an answer is late.
 *
 * Checks: at most one preset is accepted for a version. A preset that is
 * reported as accepted was accepted, and stays accepted. A preset that is
 * reported as a conflict never takes effect. Every operator gets a report. The
 * last three are checked when no process can take another step (`timeout`);
 * every run reaches that state.
 *
 * Mutants, for each of which a check must fail:
 *   NO_COMPARE_AND_SET  the platform writes whichever version is current
 *   TRUST_LOST_ANSWER   a lost answer is reported as "accepted"
 *   TRUST_CONFLICT      a conflict after a lost answer is reported as such,
 *                       without reading the object again
 */
#define OPERATORS 2
#define MAX_VERSION 2  /* Each operator changes the configuration once. */

mtype = { ok, conflict, accepted, rejected, unclear };

/* The platform's object `in_force`: its version, and its value at each one. */
byte version = 0;
byte preset[MAX_VERSION + 2];  /* Operator of the preset, plus 1; 0: none. */
byte lose_left = 2;            /* Messages that may still be lost. */
chan requests = [4] of { byte, byte, byte };  /* Operator, attempt, expected. */
chan answers[OPERATORS] = [2] of { byte, mtype };
mtype reported[OPERATORS];  /* The result reported to each operator. */

/* The object API's put: a write on the condition that the version is as
 * expected. */
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
#ifdef NO_COMPARE_AND_SET
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
            :: lose_left > 0 -> lose_left--  /* The answer is lost. */
            :: answers[operator]!attempt, ok
            fi
         fi
      fi;
      operator = 0; attempt = 0; if_version = 0
    }
  od
}

/* The command `preset use` of one operator (operators/platform_calls.h). */
proctype operator(byte me) {
  byte seen, attempt, answered;
  mtype result;
  atomic { seen = version; attempt = 1; requests!me, attempt, seen };
wait:
  atomic {
    if
    :: answers[me]?answered, result ->
       if
       :: answered != attempt -> goto wait  /* A late answer is ignored. */
       :: else
       fi;
       if
       :: result == ok -> reported[me] = accepted; goto done
#ifdef TRUST_CONFLICT
       :: result == conflict -> reported[me] = rejected; goto done
#else
       :: result == conflict && attempt == 1 ->
          reported[me] = rejected; goto done
       :: result == conflict && attempt == 2 -> goto read_again
#endif
       fi
    :: true  /* The operator stops waiting for the answer. */
    fi
  };
#ifdef TRUST_LOST_ANSWER
  reported[me] = accepted;
  goto done;
#endif
read_again:
  /* If the object read has this operator's operation id, the write took
   * effect. */
  atomic {
    if
    :: preset[version] == me + 1 -> reported[me] = accepted
    :: else ->
       if
       :: version == seen && attempt == 1 ->
          attempt = 2;
          requests!me, attempt, seen;
          goto wait
       :: else -> reported[me] = unclear
       fi
    fi
  };
done:
  skip
}

init {
  byte each;
  bool took_effect;
  atomic { run operator(0); run operator(1) };
  timeout;
  /* No other process can take a step. */
  d_step {
    do
    :: each < OPERATORS ->
       took_effect = (preset[1] == each + 1 || preset[2] == each + 1);
       assert(reported[each] != accepted || took_effect);
       assert(reported[each] != rejected || !took_effect);
       assert(reported[each] != 0);
       each++
    :: else -> break
    od
  }
}
