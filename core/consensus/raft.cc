#include "core/consensus/raft.h"

#include <algorithm>
#include <utility>

namespace ramppond {

const Member* Membership::find(NodeId id) const {
  const auto found = std::find_if(members.begin(), members.end(),
                                  [&](const Member& member) { return member.id == id; });
  return found == members.end() ? nullptr : &*found;
}

const Member* Membership::findByName(const std::string& name) const {
  const auto found = std::find_if(members.begin(), members.end(),
                                  [&](const Member& member) { return member.name == name; });
  return found == members.end() ? nullptr : &*found;
}

bool Membership::isVoter(NodeId id) const {
  const Member* member = find(id);
  return member != nullptr && member->voter;
}

std::size_t Membership::voterCount() const {
  return static_cast<std::size_t>(std::count_if(members.begin(), members.end(),
                                                [](const Member& member) { return member.voter; }));
}

bool RaftReady::empty() const {
  return !hard_state && !install_snapshot && !truncate_from && append.empty() && messages.empty() &&
         committed.empty() && reads_ready.empty() && reads_failed.empty();
}

RaftNode::RaftNode(RaftOptions options, RaftRecovery recovery, TimePoint now)
    : options_(options),
      random_(options.random_seed),
      hard_state_(recovery.hard_state),
      saved_hard_state_(recovery.hard_state),
      snapshot_(std::move(recovery.snapshot)),
      log_(recovery.entries.begin(), recovery.entries.end()),
      now_(now) {
  commit_ = applied_ = delivered_ = snapshot_.index;
  stable_ = written_ = lastIndex();
  recomputeMembership();
  resetElectionTimer();
  shortenInitialElectionTimer();
}

bool RaftNode::bootstrap(std::uint64_t group_id, const Member& self, TimePoint now) {
  Membership single_voter;
  single_voter.members = {self};
  single_voter.members.front().voter = true;
  if (!initializeLog(group_id, single_voter, now)) {
    return false;
  }
  startElection();
  return true;
}

bool RaftNode::bootstrapGroup(std::uint64_t group_id, const Membership& members, TimePoint now) {
  return initializeLog(group_id, members, now);
}

bool RaftNode::initializeLog(std::uint64_t group_id, const Membership& members, TimePoint now) {
  const bool empty_disk = hard_state_.group_id == 0 && lastIndex() == 0 && hard_state_.term == 0;
  if (!empty_disk || !members.isVoter(options_.id) || group_id == 0) {
    return false;
  }
  now_ = now;
  hard_state_.group_id = group_id;
  hard_state_.term = 1;
  LogEntry first;
  first.term = 1;
  first.type = EntryType::kMembership;
  first.membership = members;
  appendEntry(std::move(first));
  return true;
}

LogIndex RaftNode::lastIndex() const {
  return log_.empty() ? snapshot_.index : log_.back().index;
}

Term RaftNode::lastTerm() const {
  return log_.empty() ? snapshot_.term : log_.back().term;
}

const LogEntry& RaftNode::entryAt(LogIndex index) const {
  return log_.at(index - snapshot_.index - 1);
}

std::optional<Term> RaftNode::termAt(LogIndex index) const {
  if (index == snapshot_.index) {
    return snapshot_.term;
  }
  if (index < snapshot_.index || index > lastIndex()) {
    return std::nullopt;
  }
  return entryAt(index).term;
}

std::optional<TimePoint> RaftNode::lastHeardFrom(NodeId id) const {
  const auto found = progress_.find(id);
  if (found == progress_.end() || !found->second.heard) {
    return std::nullopt;
  }
  return found->second.last_heard;
}

void RaftNode::failReads() {
  for (const PendingRead& read : pending_reads_) {
    reads_failed_.push_back(read.read_id);
  }
  pending_reads_.clear();
}

void RaftNode::tick(TimePoint now) {
  now_ = now;
  if (role_ == RaftRole::kLeader) {
    checkQuorum();
    if (role_ == RaftRole::kLeader && now_ >= heartbeat_due_) {
      promoteCaughtUpLearner();
      broadcastAppend();
    }
    return;
  }
  if (now_ >= election_due_) {
    if (membership_.isVoter(options_.id)) {
      startPreVote();
    } else {
      leader_ = 0;
      resetElectionTimer();
    }
  }
}

void RaftNode::send(RaftMessage message) {
  message.from = options_.id;
  message.group_id = hard_state_.group_id;
  outbox_.push_back(std::move(message));
}

void RaftNode::reply(const RaftMessage& request, RaftMessageType type, bool accepted,
                     LogIndex index) {
  RaftMessage answer;
  answer.type = type;
  answer.to = request.from;
  answer.term = hard_state_.term;
  answer.accepted = accepted;
  answer.log_index = index;
  answer.round = request.round;
  send(std::move(answer));
}

void RaftNode::step(const RaftMessage& message, TimePoint now) {
  now_ = now;
  if (message.to != options_.id) {
    return;
  }
  // A new member learns its group from the first leader that contacts it.
  const bool from_leader = message.type == RaftMessageType::kAppendRequest ||
                           message.type == RaftMessageType::kSnapshotRequest;
  if (hard_state_.group_id == 0 && from_leader && message.group_id != 0) {
    hard_state_.group_id = message.group_id;
  }
  if (message.group_id == 0 || message.group_id != hard_state_.group_id) {
    return;
  }
  if (!observeTerm(message)) {
    return;
  }
  switch (message.type) {
    case RaftMessageType::kPreVoteRequest:
    case RaftMessageType::kVoteRequest:
      handleVoteRequest(message);
      break;
    case RaftMessageType::kPreVoteReply:
    case RaftMessageType::kVoteReply:
      handleVoteReply(message);
      break;
    case RaftMessageType::kAppendRequest:
      handleAppendRequest(message);
      break;
    case RaftMessageType::kAppendReply:
      handleAppendReply(message);
      break;
    case RaftMessageType::kSnapshotRequest:
      handleSnapshotRequest(message);
      break;
  }
}

std::optional<LogIndex> RaftNode::propose(const std::string& payload) {
  if (role_ != RaftRole::kLeader) {
    return std::nullopt;
  }
  LogEntry entry;
  entry.term = hard_state_.term;
  entry.type = EntryType::kCommand;
  entry.payload = payload;
  appendEntry(std::move(entry));
  heartbeat_due_ = now_;  // The next tick sends all pending proposals as one batch.
  return lastIndex();
}

std::optional<LogIndex> RaftNode::proposeMembership(const Membership& membership) {
  const bool change_pending = membership_index_ > commit_;
  const bool term_committed = termAt(commit_) == hard_state_.term;
  if (role_ != RaftRole::kLeader || change_pending || !term_committed ||
      membership.voterCount() == 0) {
    return std::nullopt;
  }
  LogEntry entry;
  entry.term = hard_state_.term;
  entry.type = EntryType::kMembership;
  entry.membership = membership;
  appendEntry(std::move(entry));
  heartbeat_due_ = now_;
  return lastIndex();
}

void RaftNode::requestRead(std::uint64_t read_id) {
  if (role_ != RaftRole::kLeader) {
    reads_failed_.push_back(read_id);
    return;
  }
  // Served once a heartbeat round that started after the request is acknowledged (6.4).
  pending_reads_.push_back({read_id, round_ + 1, 0});
  heartbeat_due_ = now_;
}

void RaftNode::serveReads() {
  if (pending_reads_.empty() || termAt(commit_) != hard_state_.term) {
    return;
  }
  std::vector<PendingRead> waiting;
  for (PendingRead& read : pending_reads_) {
    read.index = read.index == 0 ? commit_ : read.index;
    std::set<NodeId> acknowledged = {options_.id};
    for (const auto& [id, progress] : progress_) {
      if (progress.acknowledged_round >= read.round) {
        acknowledged.insert(id);
      }
    }
    if (round_ >= read.round && hasQuorum(acknowledged)) {
      reads_ready_.push_back(read.read_id);
    } else {
      waiting.push_back(read);
    }
  }
  pending_reads_ = std::move(waiting);
}

void RaftNode::appendEntry(LogEntry entry) {
  entry.index = lastIndex() + 1;
  if (entry.type == EntryType::kMembership) {
    membership_ = entry.membership;  // Takes effect as soon as it is in the log (4.1).
    membership_index_ = entry.index;
  }
  log_.push_back(std::move(entry));
}

void RaftNode::truncateFrom(LogIndex index) {
  while (lastIndex() >= index) {
    log_.pop_back();
  }
  stable_ = std::min(stable_, index - 1);
  if (written_ >= index) {
    written_ = index - 1;
    truncate_from_ = std::min(truncate_from_.value_or(index), index);
  }
  recomputeMembership();
}

void RaftNode::recomputeMembership() {
  membership_ = snapshot_.membership;
  membership_index_ = snapshot_.index;
  for (const LogEntry& entry : log_) {
    if (entry.type == EntryType::kMembership) {
      membership_ = entry.membership;
      membership_index_ = entry.index;
    }
  }
}

RaftReady RaftNode::ready() {
  RaftReady ready;
  if (!(hard_state_ == saved_hard_state_)) {
    ready.hard_state = hard_state_;
    saved_hard_state_ = hard_state_;
  }
  ready.install_snapshot = std::exchange(install_snapshot_, std::nullopt);
  ready.truncate_from = std::exchange(truncate_from_, std::nullopt);
  for (LogIndex index = written_ + 1; index <= lastIndex(); ++index) {
    ready.append.push_back(entryAt(index));
  }
  written_ = lastIndex();
  ready.messages = std::exchange(outbox_, {});
  for (LogIndex index = delivered_ + 1; index <= commit_; ++index) {
    ready.committed.push_back(entryAt(index));
  }
  delivered_ = std::max(delivered_, commit_);
  ready.reads_ready = std::exchange(reads_ready_, {});
  ready.reads_failed = std::exchange(reads_failed_, {});
  return ready;
}

void RaftNode::advance() {
  stable_ = written_;
  applied_ = delivered_;
  if (role_ == RaftRole::kLeader) {
    advanceCommit();
    serveReads();
  }
}

}  // namespace ramppond
