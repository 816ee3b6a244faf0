/* Election, commit, member change and a wiped disk, as core/consensus/raft.cc does them.
 *
 * Three members. Member 2 may lose its disk once. By the rule it then is somebody else: its old
 * identity never votes or counts again, and the new one counts only after a leader has removed the
 * old one and added the new one through the log, each change committed before the next (Ongaro's
 * thesis, 4.1 to 4.3). A message exchange is one atomic step, taken or not, with any subset of the
 * members; leaders of older terms go on until they hear of a newer one.
 *
 * Checked: an entry once committed is never replaced, and every leader holds all committed
 * entries. Bounds: MAXTERM terms, MAXLOG entries, one wipe.
 *
 * With -DWIPED_DISK_VOTES the wiped member keeps its identity: Spin must find a violation.
 */
#define MEMBERS 3
#define MAXLOG 4
#define MAXTERM 3
#define WIPED 2 /* the member whose disk is lost */

#define DATA 1
#define REMOVE_OLD 2
#define ADD_NEW 3

typedef Member {
  byte term;
  byte voted_for; /* 0 for none, else member + 1 */
  byte length;
  byte entry_term[MAXLOG];
  byte entry_kind[MAXLOG];
  bit leads
};

Member member[MEMBERS];
bit wiped;           /* the disk has been lost */
bit new_identity;    /* the wiped member came back as somebody else */
byte committed;      /* entries committed anywhere */
byte committed_term[MAXLOG];
byte committed_kind[MAXLOG];

/* Result variables of the inlines below. */
byte position;
byte other;
byte votes;
byte voters;
byte acknowledged;
bit current;
bit counts;
byte configuration;  /* 0: all old identities; 1: old one removed; 2: new one added */
bit pending_change;
bit committed_in_term;

inline read_configuration(reader) {
  configuration = 0;
  position = 0;
  do
  :: position < member[reader].length ->
     if
     :: member[reader].entry_kind[position] == REMOVE_OLD -> configuration = 1
     :: member[reader].entry_kind[position] == ADD_NEW -> configuration = 2
     :: else -> skip
     fi;
     position++
  :: else -> break
  od
}

/* Whether `who` is a voter of `configuration`. */
inline read_counts(voter) {
  counts = (voter != WIPED) || (configuration == 0 && !new_identity) ||
           (configuration == 2 && new_identity)
}

/* Whether the candidate's log is at least as current as `who`'s. */
inline read_current(first, second) {
  byte mine = 0;
  byte theirs = 0;
  if
  :: member[first].length > 0 ->
     mine = member[first].entry_term[member[first].length - 1]
  :: else -> skip
  fi;
  if
  :: member[second].length > 0 -> theirs = member[second].entry_term[member[second].length - 1]
  :: else -> skip
  fi;
  current = (mine > theirs) || (mine == theirs && member[first].length >= member[second].length)
}

inline stand_for_election(candidate) {
  member[candidate].term++;
  member[candidate].voted_for = candidate + 1;
  member[candidate].leads = 0;
  read_configuration(candidate);
  votes = 0;
  voters = 0;
  other = 0;
  do
  :: other < MEMBERS ->
     read_counts(other);
     if
     :: counts ->
        voters++;
        if
        :: other == candidate -> votes++
        :: else ->
           read_current(candidate, other);
           if
           :: member[other].term < member[candidate].term && current ->
              if
              :: true -> /* the request and its reply arrive */
                 member[other].term = member[candidate].term;
                 member[other].voted_for = candidate + 1;
                 member[other].leads = 0;
                 votes++
              :: true -> skip
              fi
           :: else -> skip
           fi
        fi
     :: else -> skip
     fi;
     other++
  :: else -> break
  od;
  if
  :: votes * 2 > voters ->
     member[candidate].leads = 1;
     /* Every committed entry is in the new leader's log. */
     assert(member[candidate].length >= committed);
     position = 0;
     do
     :: position < committed ->
        assert(member[candidate].entry_term[position] == committed_term[position]);
        position++
     :: else -> break
     od
  :: else -> skip
  fi
}

inline append(leader, kind) {
  member[leader].entry_term[member[leader].length] = member[leader].term;
  member[leader].entry_kind[member[leader].length] = kind;
  member[leader].length++
}

inline replicate(leader, follower) {
  member[follower].term = member[leader].term;
  member[follower].leads = 0;
  position = 0;
  do
  :: position < MAXLOG ->
     if
     :: position < member[leader].length ->
        member[follower].entry_term[position] = member[leader].entry_term[position];
        member[follower].entry_kind[position] = member[leader].entry_kind[position]
     :: else ->
        member[follower].entry_term[position] = 0;
        member[follower].entry_kind[position] = 0
     fi;
     position++
  :: else -> break
  od;
  member[follower].length = member[leader].length
}

/* Commits the leader's whole log if a majority has it and its last entry is of the leader's term. */
inline try_commit(leader) {
  read_configuration(leader);
  acknowledged = 0;
  voters = 0;
  other = 0;
  do
  :: other < MEMBERS ->
     read_counts(other);
     if
     :: counts ->
        voters++;
        if
        :: member[other].term == member[leader].term &&
           member[other].length >= member[leader].length ->
           acknowledged++
        :: else -> skip
        fi
     :: else -> skip
     fi;
     other++
  :: else -> break
  od;
  if
  :: acknowledged * 2 > voters ->
     position = 0;
     do
     :: position < member[leader].length ->
        assert(position >= committed ||
               committed_term[position] == member[leader].entry_term[position]);
        committed_term[position] = member[leader].entry_term[position];
        committed_kind[position] = member[leader].entry_kind[position];
        position++
     :: else -> break
     od;
     if
     :: member[leader].length > committed -> committed = member[leader].length
     :: else -> skip
     fi
  :: else -> skip
  fi
}

/* A change of members needs an entry of the leader's own term committed, and no other change that
 * is not committed yet. */
inline read_change_allowed(leader) {
  committed_in_term = committed > 0 && committed <= member[leader].length &&
                      committed_term[committed - 1] == member[leader].term;
  pending_change = 0;
  position = committed;
  do
  :: position < member[leader].length ->
     if
     :: member[leader].entry_kind[position] != DATA -> pending_change = 1
     :: else -> skip
     fi;
     position++
  :: else -> break
  od
}

inline lose_disk() {
  wiped = 1;
  member[WIPED].term = 0;
  member[WIPED].voted_for = 0;
  member[WIPED].leads = 0;
  member[WIPED].length = 0;
  position = 0;
  do
  :: position < MAXLOG ->
     member[WIPED].entry_term[position] = 0;
     member[WIPED].entry_kind[position] = 0;
     position++
  :: else -> break
  od;
#ifndef WIPED_DISK_VOTES
  new_identity = 1
#endif
}

active proctype Group() {
  byte who;
  byte to;
  do
  :: atomic {
       select(who : 0 .. MEMBERS - 1);
       select(to : 0 .. MEMBERS - 1);
       if
       :: member[who].term < MAXTERM && !member[who].leads ->
          read_configuration(who);
          read_counts(who);
          if
          :: counts -> stand_for_election(who)
          :: else -> skip
          fi
       :: member[who].leads && member[who].length < MAXLOG -> append(who, DATA)
       :: member[who].leads && to != who && member[to].term <= member[who].term ->
          replicate(who, to)
       :: member[who].leads && member[who].length > 0 &&
          member[who].entry_term[member[who].length - 1] == member[who].term ->
          try_commit(who)
       :: member[who].leads && member[who].length < MAXLOG && new_identity ->
          read_change_allowed(who);
          read_configuration(who);
          if
          :: committed_in_term && !pending_change && configuration == 0 -> append(who, REMOVE_OLD)
          :: committed_in_term && !pending_change && configuration == 1 &&
             member[WIPED].term == member[who].term &&
             member[WIPED].length == member[who].length ->
             append(who, ADD_NEW)
          :: else -> skip
          fi
       :: !wiped -> lose_disk()
       :: else -> skip
       fi;
       who = 0;
       to = 0;
       position = 0;
       other = 0;
       votes = 0;
       voters = 0;
       acknowledged = 0;
       current = 0;
       counts = 0;
       configuration = 0;
       pending_change = 0;
       committed_in_term = 0
     }
  od
}
