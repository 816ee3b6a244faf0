// Raft consensus as a pure state machine: takes events and the current time, returns a RaftReady.
//
// The driver's loop: feed events; take ready(); write the hard state, the truncation and the
// entries and sync them; then send the messages and apply the committed entries; then call
// advance(). This order ensures that whatever a message acknowledges is on disk before the message
// is sent. Does no I/O. Not thread safe; the driver serializes calls.
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
  Duration election_timeout = milliseconds(400);  ///< Minimum; drawn at random up to twice this.
  Duration heartbeat_interval = milliseconds(80);
  /// Replaces `election_timeout` after a start until a leader is known; doubled after each election
  /// that was not won. It may be short: pre-vote (9.6) keeps a member that has just started from
  /// disturbing a leader that others still hear.
  std::optional<Duration> initial_election_timeout;
  std::size_t maximum_entries_per_message = 512;
  std::uint64_t random_seed = 1;
};

/// The persisted state with which a node restarts.
struct RaftRecovery {
  HardState hard_state;
  Snapshot snapshot;
  std::vector<LogEntry> entries;
};

/// Work for the driver. Fields are listed in the order in which they must be processed.
struct RaftReady {
  std::optional<HardState> hard_state;       ///< Persist.
  std::optional<Snapshot> install_snapshot;  ///< Persist, then replace the state machine.
  std::optional<LogIndex> truncate_from;     ///< Delete this entry and all later ones.
  std::vector<LogEntry> append;              ///< Append, then sync.
  std::vector<RaftMessage> messages;         ///< Send.
  std::vector<LogEntry> committed;           ///< Apply in order.
  std::vector<std::uint64_t> reads_ready;    ///< Reads to serve once `committed` is applied.
  std::vector<std::uint64_t> reads_failed;   ///< Reads to fail: this node is not the leader.
  [[nodiscard]] bool empty() const;
};

enum class RaftRole : std::uint8_t { kFollower, kPreCandidate, kCandidate, kLeader };

class RaftNode {
 public:
  RaftNode(RaftOptions options, RaftRecovery recovery, TimePoint now);

  /// Makes this node the only voter of a new group. Returns false unless its disk is empty.
  bool bootstrap(std::uint64_t group_id, const Member& self, TimePoint now);

  /// Starts a new group of several voters. Each of them must be called with the same arguments, so
  /// that all logs begin with the same entry. Returns false unless this node is a voter of
  /// `members` and its disk is empty.
  bool bootstrapGroup(std::uint64_t group_id, const Membership& members, TimePoint now);

  void tick(TimePoint now);
  void step(const RaftMessage& message, TimePoint now);

  /// Appends a command. Returns its index, or std::nullopt if this node is not the leader.
  std::optional<LogIndex> propose(const std::string& payload);
  /// Appends a membership change; callers change one member at a time (4.3). Returns its index, or
  /// std::nullopt if this node is not the leader, the previous change is not committed, no entry of
  /// this term is committed, or `membership` has no voter.
  std::optional<LogIndex> proposeMembership(const Membership& membership);
  /// Starts a linearizable read (6.4); `read_id` is returned in a later RaftReady.
  void requestRead(std::uint64_t read_id);

  RaftReady ready();
  /// Reports that the work of the last ready() is done: persisted, sent and applied.
  void advance();
  /// Replaces the log up to `index` with a snapshot; `state` is the encoded state machine at that
  /// index. Returns the current snapshot, unchanged if `index` is not applied or already covered.
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
  /// On the leader, when it last heard from `id`; std::nullopt if never in this term.
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
    TimePoint snapshot_sent{0};  ///< A pending one is resent after an election timeout.
    bool snapshot_pending = false;
  };
  struct PendingRead {
    std::uint64_t read_id;
    std::uint64_t round;
    LogIndex index;
  };

  bool initializeLog(std::uint64_t group_id, const Membership& members, TimePoint now);
  void becomeFollower(Term term, NodeId leader);
  void startPreVote();
  void startElection();
  void becomeLeader();
  void resetElectionTimer();
  void shortenInitialElectionTimer();
  void broadcastVoteRequest(RaftMessageType type, Term term);
  void broadcastAppend();
  void sendAppend(const Member& member);
  void sendSnapshot(const Member& member, Progress& progress);
  void handleVoteRequest(const RaftMessage& message);
  void handleVoteReply(const RaftMessage& message);
  /// Follows the sender of a leader's message. Rejects the message and returns false if its term is
  /// older than this node's.
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
  void stepDownIfRemoved();
  void reply(const RaftMessage& request, RaftMessageType type, bool accepted, LogIndex index);
  void send(RaftMessage message);
  [[nodiscard]] bool isLogUpToDate(LogIndex index, Term term) const;
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
  LogIndex membership_index_ = 0;  ///< Index of the entry that holds `membership_`.
  LogIndex commit_ = 0;
  LogIndex applied_ = 0;
  LogIndex delivered_ = 0;  ///< Last index passed to the driver as committed.
  LogIndex stable_ = 0;     ///< Last index known to be on disk.
  LogIndex written_ = 0;    ///< Last index passed to the driver for writing.
  std::optional<LogIndex> truncate_from_;
  std::optional<Snapshot> install_snapshot_;

  RaftRole role_ = RaftRole::kFollower;
  NodeId leader_ = 0;
  TimePoint now_{0};
  TimePoint election_due_{0};
  bool leader_seen_ = false;  ///< Whether a leader was known at any time since the start.
  std::uint32_t initial_elections_ = 0;  ///< Elections started while `leader_seen_` was false.
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
