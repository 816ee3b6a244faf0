#include "core/raft.h"

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
  commit_ = applied_ = handed_out_ = snapshot_.index;
  stable_ = written_ = lastIndex();
  recomputeMembership();
  resetElectionTimer();
  hurryFirstElection();
}

bool RaftNode::bootstrap(std::uint64_t group_id, const Member& self, TimePoint now) {
  Membership alone;
  alone.members = {self};
  alone.members.front().voter = true;
  if (!startFirstLog(group_id, alone, now)) {
    return false;
  }
  startElection();
  return true;
}

bool RaftNode::bootstrapGroup(std::uint64_t group_id, const Membership& members, TimePoint now) {
  return startFirstLog(group_id, members, now);
}

bool RaftNode::startFirstLog(std::uint64_t group_id, const Membership& members, TimePoint now) {
  const bool pristine = hard_state_.group_id == 0 && lastIndex() == 0 && hard_state_.term == 0;
  if (!pristine || !members.isVoter(options_.id) || group_id == 0) {
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

void RaftNode::resetElectionTimer() {
  const auto spread = static_cast<std::uint64_t>(options_.election_timeout.count());
  election_due_ =
      now_ + options_.election_timeout + Duration(static_cast<std::int64_t>(random_.below(spread)));
}

// Members that start together reach each other one after the other: until one of them leads, a
// pre-vote that found no quorum is repeated soon. Pre-votes disturb nobody's term.
void RaftNode::hurryFirstElection() {
  if (!options_.first_election_timeout || leader_seen_) {
    return;
  }
  const auto spread = static_cast<std::uint64_t>(options_.first_election_timeout->count());
  election_due_ = now_ + *options_.first_election_timeout +
                  Duration(static_cast<std::int64_t>(random_.below(spread)));
}

void RaftNode::becomeFollower(Term term, NodeId leader) {
  if (term > hard_state_.term) {
    hard_state_.term = term;
    hard_state_.voted_for = 0;
  }
  if (role_ == RaftRole::kLeader) {
    failReads();
  }
  role_ = RaftRole::kFollower;
  leader_ = leader;
  leader_seen_ = leader_seen_ || leader != 0;
  resetElectionTimer();
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

// A leader that has not heard from a quorum for an election timeout steps down (6.2), so that a
// cut-off leader stops answering reads and claims.
void RaftNode::checkQuorum() {
  if (now_ - leader_since_ < options_.election_timeout) {
    return;
  }
  std::set<NodeId> live = {options_.id};
  for (const auto& [id, progress] : progress_) {
    if (progress.heard && now_ - progress.last_heard <= options_.election_timeout) {
      live.insert(id);
    }
  }
  if (!hasQuorum(live)) {
    becomeFollower(hard_state_.term, 0);
  }
}

bool RaftNode::hasQuorum(const std::set<NodeId>& nodes) const {
  std::size_t voters = 0;
  for (const NodeId node : nodes) {
    voters += membership_.isVoter(node) ? 1 : 0;
  }
  return voters >= membership_.quorum();
}

// Pre-vote (9.6): asks whether an election could be won before disturbing anybody's term.
void RaftNode::startPreVote() {
  role_ = RaftRole::kPreCandidate;
  leader_ = 0;
  votes_ = {options_.id};
  resetElectionTimer();
  hurryFirstElection();
  if (hasQuorum(votes_)) {
    startElection();
    return;
  }
  broadcastVoteRequest(RaftMessageType::kPreVoteRequest, hard_state_.term + 1);
}

void RaftNode::startElection() {
  role_ = RaftRole::kCandidate;
  leader_ = 0;
  hard_state_.term += 1;
  hard_state_.voted_for = options_.id;
  votes_ = {options_.id};
  resetElectionTimer();
  if (hasQuorum(votes_)) {
    becomeLeader();
    return;
  }
  broadcastVoteRequest(RaftMessageType::kVoteRequest, hard_state_.term);
}

void RaftNode::broadcastVoteRequest(RaftMessageType type, Term term) {
  for (const Member& member : membership_.members) {
    if (member.id == options_.id || !member.voter) {
      continue;
    }
    RaftMessage request;
    request.type = type;
    request.to = member.id;
    request.term = term;
    request.log_index = lastIndex();
    request.log_term = lastTerm();
    send(std::move(request));
  }
}

void RaftNode::becomeLeader() {
  role_ = RaftRole::kLeader;
  leader_ = options_.id;
  leader_since_ = now_;
  progress_.clear();
  LogEntry no_op;
  no_op.term = hard_state_.term;
  appendEntry(std::move(no_op));
  broadcastAppend();
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

bool RaftNode::logIsCurrent(LogIndex index, Term term) const {
  return term > lastTerm() || (term == lastTerm() && index >= lastIndex());
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

// Takes over a higher term. Returns false when the message is to be dropped.
bool RaftNode::observeTerm(const RaftMessage& message) {
  const bool pre_vote = message.type == RaftMessageType::kPreVoteRequest ||
                        (message.type == RaftMessageType::kPreVoteReply && message.accepted);
  if (message.term <= hard_state_.term || pre_vote) {
    return true;
  }
  const bool vote = message.type == RaftMessageType::kVoteRequest;
  if (vote) {
    // A removed or cut-off member must not depose a leader that others still hear (4.2.3). A
    // sender that is not a voter here is not allowed to raise our term either.
    const bool hears_leader =
        role_ == RaftRole::kLeader ||
        (heard_leader_ && now_ - last_leader_contact_ < options_.election_timeout);
    if (hears_leader) {
      return false;
    }
  }
  const bool from_leader = message.type == RaftMessageType::kAppendRequest ||
                           message.type == RaftMessageType::kSnapshotRequest;
  becomeFollower(message.term, from_leader ? message.from : 0);
  return true;
}

void RaftNode::handleVoteRequest(const RaftMessage& message) {
  const bool pre_vote = message.type == RaftMessageType::kPreVoteRequest;
  const auto reply_type = pre_vote ? RaftMessageType::kPreVoteReply : RaftMessageType::kVoteReply;
  const bool hears_leader =
      heard_leader_ && now_ - last_leader_contact_ < options_.election_timeout;
  // A learner has no vote; neither does a member that is not in its own newest membership.
  bool grant = membership_.isVoter(options_.id) && message.term >= hard_state_.term &&
               logIsCurrent(message.log_index, message.log_term);
  if (pre_vote) {
    grant = grant && role_ != RaftRole::kLeader && !hears_leader && message.term > hard_state_.term;
  } else {
    const bool free_vote = hard_state_.voted_for == 0 || hard_state_.voted_for == message.from;
    grant = grant && free_vote && message.term == hard_state_.term;
    if (grant) {
      hard_state_.voted_for = message.from;
      resetElectionTimer();
    }
  }
  reply(message, reply_type, grant, 0);
  if (pre_vote && grant) {
    outbox_.back().term = message.term;
  }
}

void RaftNode::handleVoteReply(const RaftMessage& message) {
  const bool pre_vote = message.type == RaftMessageType::kPreVoteReply;
  const RaftRole expected = pre_vote ? RaftRole::kPreCandidate : RaftRole::kCandidate;
  const Term expected_term = pre_vote ? hard_state_.term + 1 : hard_state_.term;
  if (role_ != expected || !message.accepted || message.term != expected_term) {
    return;
  }
  votes_.insert(message.from);
  if (!hasQuorum(votes_)) {
    return;
  }
  if (pre_vote) {
    startElection();
  } else {
    becomeLeader();
  }
}

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

void RaftNode::handleAppendRequest(const RaftMessage& message) {
  if (message.term < hard_state_.term) {
    reply(message, RaftMessageType::kAppendReply, false, lastIndex());
    return;
  }
  becomeFollower(message.term, message.from);
  heard_leader_ = true;
  last_leader_contact_ = now_;
  if (message.log_index > snapshot_.index && termAt(message.log_index) != message.log_term) {
    reply(message, RaftMessageType::kAppendReply, false,
          std::min(lastIndex(), message.log_index - 1));
    return;
  }
  LogIndex match = message.log_index;
  for (const LogEntry& entry : message.entries) {
    match = entry.index;
    if (entry.index <= snapshot_.index) {
      continue;  // Covered by our snapshot, hence committed and equal.
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
  // Tell followers of a new commit at once; they apply without waiting for a heartbeat.
  if (commit_ > commit_before) {
    broadcastAppend();
  } else if (progress.next <= lastIndex()) {
    sendAppend(*member);
  }
}

void RaftNode::handleSnapshotRequest(const RaftMessage& message) {
  if (message.term < hard_state_.term) {
    reply(message, RaftMessageType::kAppendReply, false, lastIndex());
    return;
  }
  becomeFollower(message.term, message.from);
  heard_leader_ = true;
  last_leader_contact_ = now_;
  const Snapshot& snapshot = message.snapshot;
  if (snapshot.index > commit_) {
    log_.clear();
    snapshot_ = snapshot;
    commit_ = applied_ = handed_out_ = snapshot.index;
    stable_ = written_ = snapshot.index;
    truncate_from_.reset();
    install_snapshot_ = snapshot;
    recomputeMembership();
  }
  reply(message, RaftMessageType::kAppendReply, true, snapshot.index);
}

// Commits the highest index of this term that a quorum has on disk (3.6.2).
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
    leaveIfRemoved();
  }
}

// A leader that is no longer a voter steps down once that is committed (4.2.2).
void RaftNode::leaveIfRemoved() {
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

std::optional<LogIndex> RaftNode::propose(const std::string& payload) {
  if (role_ != RaftRole::kLeader) {
    return std::nullopt;
  }
  LogEntry entry;
  entry.term = hard_state_.term;
  entry.type = EntryType::kCommand;
  entry.payload = payload;
  appendEntry(std::move(entry));
  heartbeat_due_ = now_;  // The next tick sends all proposals made until then as one batch.
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
  // Served after a heartbeat round that starts later than the request (6.4).
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
    membership_ = entry.membership;  // In force as soon as it is in the log (4.1).
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
  for (LogIndex index = handed_out_ + 1; index <= commit_; ++index) {
    ready.committed.push_back(entryAt(index));
  }
  handed_out_ = std::max(handed_out_, commit_);
  ready.reads_ready = std::exchange(reads_ready_, {});
  ready.reads_failed = std::exchange(reads_failed_, {});
  return ready;
}

void RaftNode::advance() {
  stable_ = written_;
  applied_ = handed_out_;
  if (role_ == RaftRole::kLeader) {
    advanceCommit();
    serveReads();
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
