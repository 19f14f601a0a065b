/* Two proxies follow the platform's store, which is restored from an older copy
 * at any moment: the changes since then are lost and their revisions are given
 * out again, in a later era. An operator changes the configuration and writes
 * again what was lost. One proxy finds a new version bad and writes that
 * outcome; a proxy that sees no state of the rollout writes that it is running.
 *
 * Checks: the configuration of a proxy never goes back. A proxy that has heard
 * of the restore does not overwrite an outcome by a write that depends on a lost
 * revision. When no process can take another step, every proxy has the latest
 * configuration, and the outcome is in the store.
 *
 * Mutants, for each of which a check must fail:
 *   NO_ERA_IN_WATCH   a watch compares revisions without their era
 *   NO_VERSION_CHECK  a proxy adopts whichever configuration it reads
 *   STALE_WRITE       a write may depend on a revision of an earlier era
 *   NO_REWRITE        an outcome is written once only
 */
#define PROXIES 2
#define MAX_VERSION 3

#ifdef NO_ERA_IN_WATCH
#define HEARS_RESTORE false
#else
#define HEARS_RESTORE (read_era != era)
#endif

mtype = { none, running, rolled_back };

/* The store. */
byte era = 1;
byte revision = 1;
byte version = 1;    /* Of the configuration. */
mtype state = none;  /* Of the rollout. */

byte latest_version = 1;  /* That the operator has given. */
byte in_force[PROXIES];
bool found_bad = false;

active proctype operator() {
end:
  do
  :: atomic { latest_version < MAX_VERSION ->
       latest_version++; version = latest_version; revision++ }
  :: atomic { version < latest_version ->
       version = latest_version; revision++ }
  od
}

active proctype drill() {
  byte copied_revision, copied_version;
  mtype copied_state;
  atomic {
    copied_revision = revision; copied_version = version; copied_state = state
  }
  atomic {
    revision = copied_revision; version = copied_version; state = copied_state;
    era++
  }
}

proctype proxy(byte id) {
  byte known_era = 0;       /* The latest era heard of. */
  byte read_era = 0;        /* Era and revision of what was read last. */
  byte read_revision = 0;
  mtype seen = none;        /* State of the rollout as read last. */
  mtype wanted = none;      /* State to write; none: nothing. */
  mtype known = none;       /* Outcome known here. */
  bool must_list = true;
end:
  do
  :: atomic { must_list || revision != read_revision || HEARS_RESTORE ->
       /* A list, or a watch that returns the changes. */
       must_list = false;
       known_era = era; read_era = era; read_revision = revision;
       seen = state;
#ifdef NO_VERSION_CHECK
       assert(version >= in_force[id]);
       in_force[id] = version;
#else
       if
       :: version > in_force[id] -> in_force[id] = version
       :: else
       fi;
#endif
       if
       :: seen == rolled_back -> known = rolled_back; wanted = none
#ifndef NO_REWRITE
       :: seen != rolled_back && known == rolled_back -> wanted = rolled_back
#endif
       :: seen == none && known == none -> wanted = running
       :: else
       fi
     }
  :: atomic { id == 0 && !found_bad && seen == running && known == none ->
       found_bad = true; known = rolled_back; wanted = rolled_back }
  :: atomic { wanted != none && !must_list ->
       if
#ifndef STALE_WRITE
       :: read_era < known_era -> must_list = true
#endif
       :: read_revision != revision -> must_list = true
#ifdef STALE_WRITE
       :: read_revision == revision ->
#else
       :: read_era == known_era && read_revision == revision ->
#endif
          assert(!(known_era == era && state == rolled_back &&
                   wanted == running));
          state = wanted; revision++;
          known_era = era;
          wanted = none; must_list = true
       fi
     }
  :: atomic { known_era < era -> known_era = era }  /* From any response. */
  od
}

init {
  atomic { run proxy(0); run proxy(1) }
  timeout;
  assert(in_force[0] == latest_version && in_force[1] == latest_version);
  assert(!found_bad || state == rolled_back)
}
