// RaftNode: log replication, commit, snapshots and promotion of learners (Raft paper 5.3, 7).
#include <algorithm>
#include <utility>

#include "core/consensus/raft.h"

namespace ramppond {

void RaftNode::broadcastAppend() {
  round_ += 1;
  heartbeat_due_ = now_ + options_.heartbeat_interval;
  for (const Member& member : membership_.members) {
    if (member.id != options_.id) {
      sendAppend(member);
    }
  }
  advanceCommit();
  serveReads();
}

void RaftNode::sendAppend(const Member& member) {
  auto [position, inserted] = progress_.try_emplace(member.id);
  Progress& progress = position->second;
  if (inserted) {
    progress.next = lastIndex() + 1;
  }
  if (progress.next <= snapshot_.index) {
    sendSnapshot(member, progress);
    return;
  }
  RaftMessage request;
  request.type = RaftMessageType::kAppendRequest;
  request.to = member.id;
  request.term = hard_state_.term;
  request.log_index = progress.next - 1;
  request.log_term = termAt(progress.next - 1).value_or(0);
  request.commit = commit_;
  request.round = round_;
  const LogIndex last =
      std::min<LogIndex>(lastIndex(), progress.next + options_.maximum_entries_per_message - 1);
  for (LogIndex index = progress.next; index <= last; ++index) {
    request.entries.push_back(entryAt(index));
  }
  // Optimistic pipelining (10.2.1): a rejection moves `next` back.
  progress.next = last + 1;
  send(std::move(request));
}

void RaftNode::sendSnapshot(const Member& member, Progress& progress) {
  if (progress.snapshot_pending && now_ - progress.snapshot_sent < options_.election_timeout) {
    return;
  }
  progress.snapshot_pending = true;
  progress.snapshot_sent = now_;
  RaftMessage request;
  request.type = RaftMessageType::kSnapshotRequest;
  request.to = member.id;
  request.term = hard_state_.term;
  request.round = round_;
  request.snapshot = snapshot_;
  send(std::move(request));
}

bool RaftNode::followLeader(const RaftMessage& message) {
  if (message.term < hard_state_.term) {
    reply(message, RaftMessageType::kAppendReply, false, lastIndex());
    return false;
  }
  becomeFollower(message.term, message.from);
  heard_leader_ = true;
  last_leader_contact_ = now_;
  return true;
}

void RaftNode::handleAppendRequest(const RaftMessage& message) {
  if (!followLeader(message)) {
    return;
  }
  if (message.log_index > snapshot_.index && termAt(message.log_index) != message.log_term) {
    reply(message, RaftMessageType::kAppendReply, false,
          std::min(lastIndex(), message.log_index - 1));
    return;
  }
  LogIndex match = message.log_index;
  for (const LogEntry& entry : message.entries) {
    match = entry.index;
    if (entry.index <= snapshot_.index) {
      continue;  // Covered by this node's snapshot, hence committed and equal.
    }
    const auto present = termAt(entry.index);
    if (present == entry.term) {
      continue;
    }
    if (present) {
      truncateFrom(entry.index);
    }
    appendEntry(entry);
  }
  commit_ = std::max(commit_, std::min(message.commit, match));
  reply(message, RaftMessageType::kAppendReply, true, match);
}

void RaftNode::handleAppendReply(const RaftMessage& message) {
  if (role_ != RaftRole::kLeader || message.term != hard_state_.term) {
    return;
  }
  const Member* member = membership_.find(message.from);
  if (member == nullptr) {
    return;
  }
  Progress& progress = progress_[message.from];
  progress.heard = true;
  progress.last_heard = now_;
  progress.acknowledged_round = std::max(progress.acknowledged_round, message.round);
  if (!message.accepted) {
    progress.next = std::max<LogIndex>(progress.match + 1, message.log_index + 1);
    sendAppend(*member);
    return;
  }
  progress.snapshot_pending = false;
  progress.match = std::max(progress.match, message.log_index);
  progress.next = std::max(progress.next, progress.match + 1);
  const LogIndex commit_before = commit_;
  advanceCommit();
  serveReads();
  if (role_ != RaftRole::kLeader) {
    return;
  }
  // Sends a new commit index at once, so that followers apply it without waiting for a heartbeat.
  if (commit_ > commit_before) {
    broadcastAppend();
  } else if (progress.next <= lastIndex()) {
    sendAppend(*member);
  }
}

void RaftNode::handleSnapshotRequest(const RaftMessage& message) {
  if (!followLeader(message)) {
    return;
  }
  const Snapshot& snapshot = message.snapshot;
  if (snapshot.index > commit_) {
    log_.clear();
    snapshot_ = snapshot;
    commit_ = applied_ = delivered_ = snapshot.index;
    stable_ = written_ = snapshot.index;
    truncate_from_.reset();
    install_snapshot_ = snapshot;
    recomputeMembership();
  }
  reply(message, RaftMessageType::kAppendReply, true, snapshot.index);
}

// Advances the commit index to the highest index of this term that a quorum has on disk (3.6.2).
void RaftNode::advanceCommit() {
  std::vector<LogIndex> matches;
  for (const Member& member : membership_.members) {
    if (!member.voter) {
      continue;
    }
    const auto found = progress_.find(member.id);
    const LogIndex match = found == progress_.end() ? 0 : found->second.match;
    matches.push_back(member.id == options_.id ? stable_ : match);
  }
  if (matches.size() < membership_.quorum()) {
    return;
  }
  std::sort(matches.rbegin(), matches.rend());
  const LogIndex candidate = matches[membership_.quorum() - 1];
  if (candidate > commit_ && termAt(candidate) == hard_state_.term) {
    commit_ = candidate;
    stepDownIfRemoved();
  }
}

// A leader that is no longer a voter steps down once its removal is committed (4.2.2).
void RaftNode::stepDownIfRemoved() {
  const bool committed = membership_index_ <= commit_;
  if (role_ == RaftRole::kLeader && committed && !membership_.isVoter(options_.id)) {
    becomeFollower(hard_state_.term, 0);
  }
}

void RaftNode::promoteCaughtUpLearner() {
  for (const Member& member : membership_.members) {
    const auto found = progress_.find(member.id);
    if (member.voter || found == progress_.end() || found->second.match < commit_) {
      continue;
    }
    Membership promoted = membership_;
    for (Member& candidate : promoted.members) {
      candidate.voter = candidate.voter || candidate.id == member.id;
    }
    proposeMembership(promoted);
    return;
  }
}

Snapshot RaftNode::compact(LogIndex index, std::string state) {
  if (index <= snapshot_.index || index > applied_) {
    return snapshot_;
  }
  Snapshot next;
  next.index = index;
  next.term = termAt(index).value_or(0);
  next.membership = snapshot_.membership;
  for (const LogEntry& entry : log_) {
    if (entry.index <= index && entry.type == EntryType::kMembership) {
      next.membership = entry.membership;
    }
  }
  next.state = std::move(state);
  while (!log_.empty() && log_.front().index <= index) {
    log_.pop_front();
  }
  snapshot_ = std::move(next);
  return snapshot_;
}

}  // namespace ramppond
