/* Answers match requests. A router uses its connection to a gate for one
 * request and then, whether or not the answer came in time, for another.
 *
 * Checked: the router takes an answer only as that to the request it asked
 * last.
 *
 * Mutant, for which the check must fail:
 *   NO_CORRELATION  the router takes the next answer, whichever it is
 */
#define EXCHANGES 3

chan calls = [EXCHANGES] of { byte };
chan answers = [EXCHANGES] of { byte };

/* callers::call_path with backend_servers::exchange. */
active proctype router() {
  byte request, answered;
  do
  :: request < EXCHANGES ->
     calls!request;
wait:
     if
     :: atomic {
         answers?answered;
#ifndef NO_CORRELATION
         /* An answer to an abandoned exchange is thrown away. */
         if
         :: answered != request -> goto wait
         :: else
         fi;
#endif
         assert(answered == request)
       }
     :: true  /* Gives up; the caller is told "unknown". */
     fi;
     request++
  :: else -> break
  od
}

/* The gate answers in any order, after any time, or never. */
active proctype gate() {
  byte request;
end:
  do
  :: atomic { calls??request; answers!request; request = 0 }
  :: atomic { calls?request; request = 0 }
  od
}
