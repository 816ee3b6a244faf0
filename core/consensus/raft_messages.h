// Types that Raft persists and sends (Ongaro and Ousterhout, "In Search of an Understandable
// Consensus Algorithm", ATC 2014). Section numbers in core/consensus refer to Ongaro's thesis
// unless stated otherwise.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace ramppond {

/// Identifies a member. A member whose data folder is empty draws a random id, so a member whose
/// disk was wiped comes back under an id that is in no membership: it neither votes nor counts
/// towards a quorum until it has been added through the log.
using NodeId = std::uint64_t;
using Term = std::uint64_t;
using LogIndex = std::uint64_t;

struct Member {
  NodeId id = 0;
  std::string name;     ///< Shown to operators.
  std::string address;  ///< HOST:PORT of the member's control port.
  bool voter = false;   ///< False for a learner (4.2.1).

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, id);
    visitor(2, name);
    visitor(3, address);
    visitor(4, voter);
  }
};

struct Membership {
  std::vector<Member> members;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, members);
  }
  [[nodiscard]] const Member* find(NodeId id) const;
  [[nodiscard]] const Member* findByName(const std::string& name) const;
  [[nodiscard]] bool isVoter(NodeId id) const;
  [[nodiscard]] std::size_t voterCount() const;
  /// Number of votes that form a majority of the voters.
  [[nodiscard]] std::size_t quorum() const { return voterCount() / 2 + 1; }
};

enum class EntryType : std::uint8_t { kNoOp = 0, kCommand = 1, kMembership = 2 };

struct LogEntry {
  Term term = 0;
  LogIndex index = 0;
  EntryType type = EntryType::kNoOp;
  std::string payload;    ///< The state machine's command.
  Membership membership;  ///< For kMembership only.

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, term);
    visitor(2, index);
    visitor(3, type);
    visitor(4, payload);
    visitor(5, membership);
  }
};

/// State that must be on disk before a message that depends on it is sent (3.8).
struct HardState {
  std::uint64_t group_id = 0;  ///< Set at bootstrap; messages of other groups are dropped.
  Term term = 0;
  NodeId voted_for = 0;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, group_id);
    visitor(2, term);
    visitor(3, voted_for);
  }
  bool operator==(const HardState& other) const {
    return group_id == other.group_id && term == other.term && voted_for == other.voted_for;
  }
};

struct Snapshot {
  LogIndex index = 0;  ///< Index of the last entry covered; 0 for no snapshot.
  Term term = 0;
  Membership membership;
  std::string state;  ///< The encoded state machine.

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, index);
    visitor(2, term);
    visitor(3, membership);
    visitor(4, state);
  }
};

enum class RaftMessageType : std::uint8_t {
  kPreVoteRequest = 0,
  kPreVoteReply = 1,
  kVoteRequest = 2,
  kVoteReply = 3,
  kAppendRequest = 4,
  kAppendReply = 5,
  kSnapshotRequest = 6,
};

/// A message of any RaftMessageType. Fields that a type does not use keep their defaults.
struct RaftMessage {
  RaftMessageType type = RaftMessageType::kAppendRequest;
  std::uint64_t group_id = 0;
  NodeId from = 0;
  NodeId to = 0;
  Term term = 0;
  LogIndex log_index = 0;   ///< Vote: last index. Append: previous index. Reply: matching index.
  Term log_term = 0;        ///< Term at `log_index`.
  LogIndex commit = 0;      ///< Leader's commit index.
  bool accepted = false;    ///< Replies only.
  std::uint64_t round = 0;  ///< Heartbeat round, echoed by replies; used by read index (6.4).
  std::vector<LogEntry> entries;
  Snapshot snapshot;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, type);
    visitor(2, group_id);
    visitor(3, from);
    visitor(4, to);
    visitor(5, term);
    visitor(6, log_index);
    visitor(7, log_term);
    visitor(8, commit);
    visitor(9, accepted);
    visitor(10, round);
    visitor(11, entries);
    visitor(12, snapshot);
  }
};

/// Raft messages to one member, sent together.
struct RaftBatch {
  std::string sender_address;  ///< HOST:PORT to which replies are sent.
  std::vector<RaftMessage> messages;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, messages);
    visitor(2, sender_address);
  }
};

}  // namespace ramppond
