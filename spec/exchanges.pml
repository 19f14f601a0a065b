/* Matching of answers to requests. A router reuses its connection to a gate for
 * the next request, whether or not the answer to the last one came in time.
 *
 * Check: the router accepts only the answer to the request that it sent last.
 *
 * Mutant, for which the check must fail:
 *   NO_CORRELATION  the router accepts the next answer, whichever it is
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
         /* An answer to an abandoned request is discarded. */
         if
         :: answered != request -> goto wait
         :: else
         fi;
#endif
         assert(answered == request)
       }
     :: true  /* A timeout; the caller gets the outcome "unknown". */
     fi;
     request++
  :: else -> break
  od
}

/* The gate answers in any order, after any delay, or never. */
active proctype gate() {
  byte request;
end:
  do
  :: atomic { calls??request; answers!request; request = 0 }
  :: atomic { calls?request; request = 0 }
  od
}
