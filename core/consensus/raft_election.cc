// Elections: votes, pre-votes, leadership and its end (Raft paper 5.2, 5.4.1; dissertation 9.6).
#include <algorithm>
#include <utility>

#include "core/consensus/raft.h"

namespace ramppond {
namespace {

// A first time-out of a millisecond still reaches every usual election time-out.
constexpr std::uint32_t kMostDoublings = 10;

}  // namespace

void RaftNode::resetElectionTimer() {
  const auto spread = static_cast<std::uint64_t>(options_.election_timeout.count());
  election_due_ =
      now_ + options_.election_timeout + Duration(static_cast<std::int64_t>(random_.below(spread)));
}

// Members that start together reach each other one after the other, and several may then ask for
// votes at once: until one of them leads, a pre-vote that found no quorum and an election that
// split the votes (5.2) are repeated soon. Pre-votes disturb nobody's term; elections do, so that
// each that was lost doubles the time: votes may take long, as on a slow disk.
void RaftNode::hurryFirstElection() {
  if (!options_.initial_election_timeout || leader_seen_) {
    return;
  }
  const std::uint32_t doublings = std::min(first_elections_, kMostDoublings);
  const Duration least = std::min<Duration>(*options_.initial_election_timeout * (1U << doublings),
                                            options_.election_timeout);
  const auto spread = static_cast<std::uint64_t>(least.count());
  election_due_ = now_ + least + Duration(static_cast<std::int64_t>(random_.below(spread)));
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
  hurryFirstElection();
  first_elections_ += leader_seen_ ? 0 : 1;
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

bool RaftNode::logIsCurrent(LogIndex index, Term term) const {
  return term > lastTerm() || (term == lastTerm() && index >= lastIndex());
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

}  // namespace ramppond
