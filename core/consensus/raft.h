// Raft as a pure state machine: events and the time go in, a RaftReady comes out.
//
// The driver's loop: feed events; take ready(); write hard state, truncation and entries and sync
// them; then send the messages and apply the committed entries; then call advance(). Nothing that
// a message promises is sent before it is on disk. Not thread safe; the driver serialises calls.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/consensus/raft_messages.h"
#include "core/random.h"
#include "core/time.h"

namespace ramppond {

struct RaftOptions {
  NodeId id = 0;
  Duration election_timeout = milliseconds(400);  ///< Lower bound; drawn up to twice this.
  Duration heartbeat_interval = milliseconds(80);
  /// The same bound for elections until a leader is seen after a start; each lost one doubles it.
  /// It may be short: pre-vote (9.6) keeps a member that has just started from disturbing a leader
  /// that others hear.
  std::optional<Duration> initial_election_timeout;
  std::size_t maximum_entries_per_message = 512;
  std::uint64_t random_seed = 1;
};

/// What a restart finds on disk.
struct RaftRecovery {
  HardState hard_state;
  Snapshot snapshot;
  std::vector<LogEntry> entries;
};

/// Work for the driver, in the order in which it must be done.
struct RaftReady {
  std::optional<HardState> hard_state;       ///< Persist.
  std::optional<Snapshot> install_snapshot;  ///< Persist, then replace the state machine.
  std::optional<LogIndex> truncate_from;     ///< Drop entries from here on, then
  std::vector<LogEntry> append;              ///< append these and sync.
  std::vector<RaftMessage> messages;         ///< Send.
  std::vector<LogEntry> committed;           ///< Apply in order.
  std::vector<std::uint64_t> reads_ready;    ///< Reads that may be served after applying.
  std::vector<std::uint64_t> reads_failed;   ///< Reads that lost their leader.
  [[nodiscard]] bool empty() const;
};

enum class RaftRole : std::uint8_t { kFollower, kPreCandidate, kCandidate, kLeader };

class RaftNode {
 public:
  RaftNode(RaftOptions options, RaftRecovery recovery, TimePoint now);

  /// Makes this node the only voter of a new group. Refused unless its disk is empty.
  bool bootstrap(std::uint64_t group_id, const Member& self, TimePoint now);

  /// Starts a new group of several voters at once. Every one of them must be given the same
  /// arguments, on an empty disk: they begin with one and the same first entry. Refused unless
  /// this node is among the members and its disk is empty.
  bool bootstrapGroup(std::uint64_t group_id, const Membership& members, TimePoint now);

  void tick(TimePoint now);
  void step(const RaftMessage& message, TimePoint now);

  /// Appends a command. Returns its index, or nothing when this node does not lead.
  std::optional<LogIndex> propose(const std::string& payload);
  /// Changes one member at a time (4.3). Nothing when not leading, when another change is not
  /// committed yet, or before this term's first commit.
  std::optional<LogIndex> proposeMembership(const Membership& membership);
  /// Asks for a linearizable read (6.4); `read_id` comes back in a later RaftReady.
  void requestRead(std::uint64_t read_id);

  RaftReady ready();
  /// Says that all of the last ready() is on disk, sent and applied.
  void advance();
  /// Drops entries up to `index`; `state` is the encoded state machine at that index.
  Snapshot compact(LogIndex index, std::string state);

  [[nodiscard]] RaftRole role() const { return role_; }
  [[nodiscard]] Term term() const { return hard_state_.term; }
  [[nodiscard]] NodeId leader() const { return leader_; }
  [[nodiscard]] NodeId id() const { return options_.id; }
  [[nodiscard]] std::uint64_t groupId() const { return hard_state_.group_id; }
  [[nodiscard]] LogIndex commitIndex() const { return commit_; }
  [[nodiscard]] LogIndex lastIndex() const;
  [[nodiscard]] LogIndex snapshotIndex() const { return snapshot_.index; }
  [[nodiscard]] const Membership& membership() const { return membership_; }
  /// Leader: when it last heard from `id`. Nothing if never in this term.
  [[nodiscard]] std::optional<TimePoint> lastHeardFrom(NodeId id) const;
  /// When this node last became the leader.
  [[nodiscard]] TimePoint leaderSince() const { return leader_since_; }

 private:
  struct Progress {
    LogIndex match = 0;
    LogIndex next = 1;
    bool heard = false;
    TimePoint last_heard{0};
    std::uint64_t acknowledged_round = 0;
    TimePoint snapshot_sent{0};  ///< A snapshot is sent again only after a pause.
    bool snapshot_pending = false;
  };
  struct PendingRead {
    std::uint64_t read_id;
    std::uint64_t round;
    LogIndex index;
  };

  bool startFirstLog(std::uint64_t group_id, const Membership& members, TimePoint now);
  void becomeFollower(Term term, NodeId leader);
  void startPreVote();
  void startElection();
  void becomeLeader();
  void resetElectionTimer();
  void hurryFirstElection();
  void broadcastVoteRequest(RaftMessageType type, Term term);
  void broadcastAppend();
  void sendAppend(const Member& member);
  void sendSnapshot(const Member& member, Progress& progress);
  void handleVoteRequest(const RaftMessage& message);
  void handleVoteReply(const RaftMessage& message);
  /// Follows the sender of a leader's message; false, and refuses it, if the term is over.
  bool followLeader(const RaftMessage& message);
  void handleAppendRequest(const RaftMessage& message);
  void handleAppendReply(const RaftMessage& message);
  void handleSnapshotRequest(const RaftMessage& message);
  bool observeTerm(const RaftMessage& message);
  void checkQuorum();
  void promoteCaughtUpLearner();
  void advanceCommit();
  void serveReads();
  void failReads();
  void appendEntry(LogEntry entry);
  void truncateFrom(LogIndex index);
  void recomputeMembership();
  void leaveIfRemoved();
  void reply(const RaftMessage& request, RaftMessageType type, bool accepted, LogIndex index);
  void send(RaftMessage message);
  [[nodiscard]] bool logIsCurrent(LogIndex index, Term term) const;
  [[nodiscard]] std::optional<Term> termAt(LogIndex index) const;
  [[nodiscard]] const LogEntry& entryAt(LogIndex index) const;
  [[nodiscard]] Term lastTerm() const;
  [[nodiscard]] bool hasQuorum(const std::set<NodeId>& nodes) const;

  RaftOptions options_;
  Random random_;
  HardState hard_state_;
  HardState saved_hard_state_;
  Snapshot snapshot_;
  std::deque<LogEntry> log_;  ///< Entries after the snapshot.
  Membership membership_;
  LogIndex membership_index_ = 0;  ///< Entry that `membership_` came from.
  LogIndex commit_ = 0;
  LogIndex applied_ = 0;
  LogIndex handed_out_ = 0;  ///< Last index passed to the driver as committed.
  LogIndex stable_ = 0;      ///< Last index known to be on disk.
  LogIndex written_ = 0;     ///< Last index passed to the driver for writing.
  std::optional<LogIndex> truncate_from_;
  std::optional<Snapshot> install_snapshot_;

  RaftRole role_ = RaftRole::kFollower;
  NodeId leader_ = 0;
  TimePoint now_{0};
  TimePoint election_due_{0};
  bool leader_seen_ = false;           ///< Since the start.
  std::uint32_t first_elections_ = 0;  ///< That this node began before it had seen a leader.
  TimePoint heartbeat_due_{0};
  TimePoint last_leader_contact_{0};
  TimePoint leader_since_{0};
  bool heard_leader_ = false;
  std::set<NodeId> votes_;
  std::map<NodeId, Progress> progress_;
  std::uint64_t round_ = 0;
  std::vector<PendingRead> pending_reads_;
  std::vector<std::uint64_t> reads_ready_;
  std::vector<std::uint64_t> reads_failed_;
  std::vector<RaftMessage> outbox_;
};

}  // namespace ramppond
