/* The at-most-once claim, as core/inbound_calls.cc and core/control/control_state.cc do it.
 *
 * One commit-once request with one key is attempted up to ATTEMPTS times, through any daemon.
 * An attempt sends a claim to the replicated log and dispatches only when it is granted. A daemon
 * that does not wait any longer says "not run" and sends a release. Claims, replies and releases
 * arrive late, in any order, or never; a daemon may be killed at any moment. The log itself is one
 * atomic register, which spec/election.pml and the Raft tests stand for.
 *
 * Checked: the request runs at most once, and an attempt that was called "not run" never runs.
 *
 * With -DDISPATCH_BEFORE_CLAIM a daemon dispatches while its claim is under way: Spin must find a
 * violation.
 */
#define ATTEMPTS 3

mtype = { idle, claiming, dispatched, refused, dead };

mtype attempt[ATTEMPTS];
bit claim_in_flight[ATTEMPTS];
bit release_in_flight[ATTEMPTS];
bit grant_in_flight[ATTEMPTS];
bit denial_in_flight[ATTEMPTS];
bit told_not_run[ATTEMPTS];

byte holder;              /* 0 for none, else attempt + 1 */
bit abandoned[ATTEMPTS];  /* released attempts, which may not claim any more */
byte runs;

inline run_request(who) {
  assert(!told_not_run[who]);
  runs++;
  assert(runs <= 1)
}

active proctype Request() {
  byte who;
  do
  :: atomic {
       select(who : 0 .. ATTEMPTS - 1);
       if
       :: attempt[who] == 0 -> attempt[who] = idle
       :: attempt[who] == idle ->
          /* The caller, or a daemon on its behalf, makes another attempt. */
          attempt[who] = claiming;
          claim_in_flight[who] = 1;
#ifdef DISPATCH_BEFORE_CLAIM
          run_request(who)
#endif
       :: claim_in_flight[who] ->
          /* The log takes the claim; a lost reply stays in flight for ever. */
          if
          :: true -> claim_in_flight[who] = 0
          :: true -> skip /* a copy stays on its way */
          fi;
          if
          :: abandoned[who] -> denial_in_flight[who] = 1
          :: !abandoned[who] && (holder == 0 || holder == who + 1) ->
             holder = who + 1;
             grant_in_flight[who] = 1
          :: else -> denial_in_flight[who] = 1
          fi
       :: grant_in_flight[who] ->
          grant_in_flight[who] = 0;
          if
          :: attempt[who] == claiming ->
             attempt[who] = dispatched;
#ifndef DISPATCH_BEFORE_CLAIM
             run_request(who)
#endif
          :: else -> skip /* given up or killed meanwhile: the grant starts nothing */
          fi
       :: denial_in_flight[who] ->
          denial_in_flight[who] = 0;
          if
          :: attempt[who] == claiming -> attempt[who] = refused
          :: else -> skip
          fi
       :: attempt[who] == claiming ->
          /* The claim takes too long: not run, and the key is given back. */
          attempt[who] = refused;
          told_not_run[who] = 1;
          release_in_flight[who] = 1
       :: release_in_flight[who] ->
          release_in_flight[who] = 0;
          abandoned[who] = 1;
          if
          :: holder == who + 1 -> holder = 0
          :: else -> skip
          fi
       :: attempt[who] == claiming || attempt[who] == dispatched -> attempt[who] = dead
       :: else -> skip
       fi;
       who = 0
     }
  od
}
