/* The lease on keys, as core/tenants/authority_lease.cc and core/consensus/read_index_tracker.cc
 * do it.
 *
 * Time goes on in steps. A daemon asks a member; the question may be on its way for any time. The
 * member is one that may be deposed: it answers with the state that it holds once a quorum has
 * confirmed it, or not at all. The key is removed at some step, and that is acknowledged. The
 * daemon runs a request with the key while it believes in it and its lease holds.
 *
 * Checked: nothing that is sent LEASE or more steps after the acknowledgement runs.
 *
 * With -DLEASE_FROM_ANSWER the lease begins when the answer comes: Spin must find a violation.
 * With -DANSWER_WITHOUT_QUORUM a deposed member vouches for what it holds: Spin must find one too.
 */
#define LEASE 3
#define END 9
#define NEVER 15

byte now = 1;
byte removed_at = NEVER;   /* Acknowledged then. */
bit deposed;               /* The member no longer hears of changes. */
bit member_has_key = 1;

byte asked = 0;            /* When the question under way was asked; 0 for none. */
bit answered;              /* The answer is on its way. */
bit answer_has_key;

bit daemon_has_key = 1;
byte lease_from = 0;       /* 0: no lease. */

active proctype Time() {
  do
  :: now < END -> now++
  :: else -> break
  od
}

active proctype Operator() {
  if
  :: deposed = 1
  :: skip
  fi;
  atomic {
    removed_at = now;
    if
    :: !deposed -> member_has_key = 0
    :: else -> skip
    fi
  }
}

active proctype Daemon() {
  byte rounds = 0;
  do
  :: atomic { asked == 0 && rounds < 3 -> asked = now; rounds++ }
  :: atomic {
       answered ->
       daemon_has_key = daemon_has_key && answer_has_key;
#ifdef LEASE_FROM_ANSWER
       lease_from = now;
#else
       lease_from = asked;
#endif
       answered = 0;
       asked = 0
     }
  :: atomic {   /* A request with the key is sent and taken now. */
       daemon_has_key && lease_from != 0 && now < lease_from + LEASE ->
       assert(removed_at == NEVER || now < removed_at + LEASE)
     }
  :: now == END -> break
  od
}

active proctype Member() {
  do
  :: atomic {
       asked != 0 && !answered ->
       if
#ifdef ANSWER_WITHOUT_QUORUM
       :: answer_has_key = member_has_key; answered = 1
#else
       :: !deposed -> answer_has_key = member_has_key; answered = 1
       :: deposed -> break   /* No quorum confirms it. */
#endif
       fi
     }
  :: now == END -> break
  od
}
