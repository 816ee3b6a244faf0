#include "core/control/control_core.h"

#include "core/cbor_codec.h"

namespace ramppond {
namespace {

// A follower that has not heard from a leader for this many election timeouts reports in its
// answers that it is not authoritative.
constexpr std::int64_t kAuthorityElectionTimeouts = 3;
constexpr std::size_t kMaximumSenderAddresses = 64;

}  // namespace

ControlCore::ControlCore(ControlOptions options, const RaftRecovery& recovery, TimePoint now)
    : options_(std::move(options)),
      raft_(options_.raft, recovery, now),
      quotas_(options_.quota),
      snapshots_(options_.snapshots) {
  if (recovery.snapshot.index > 0) {
    installSnapshot(recovery.snapshot);
  }
  state_.setGroupId(raft_.groupId());
  member_zones_[options_.address] = options_.zone;
  last_contact_ = now - options_.raft.election_timeout * kAuthorityElectionTimeouts;
}

std::string ControlCore::addressOf(NodeId id) const {
  const Member* member = raft_.membership().find(id);
  if (member != nullptr) {
    return member->address;
  }
  const auto heard = sender_addresses_.find(id);
  return heard == sender_addresses_.end() ? std::string() : heard->second;
}

std::string ControlCore::leaderAddress() const {
  return addressOf(raft_.leader());
}

bool ControlCore::authoritative(TimePoint now) const {
  if (raft_.role() == RaftRole::kLeader) {
    return true;
  }
  return raft_.leader() != 0 &&
         now - last_contact_ < options_.raft.election_timeout * kAuthorityElectionTimeouts;
}

void ControlCore::answer(ControlToken token, ControlReply reply) {
  reply.leader_address = leaderAddress();
  answers_.push_back({token, std::move(reply)});
}

void ControlCore::answerError(ControlToken token, ErrorKind kind, const std::string& reason) {
  ControlReply reply;
  reply.error = kind;
  reply.reason = reason;
  answer(token, std::move(reply));
}

void ControlCore::onRequest(ControlToken token, const ControlRequest& request, TimePoint now) {
  switch (request.type) {
    case ControlRequestType::kPoll:
      onPoll(token, request.poll, now);
      return;
    case ControlRequestType::kCommand:
      onCommand(token, request);
      return;
    case ControlRequestType::kReadConfiguration:
    case ControlRequestType::kListPlans:
    case ControlRequestType::kReadTraffic:
    case ControlRequestType::kReadIndex:
    case ControlRequestType::kReadDepartures:
      requestRead(token, request);
      return;
    case ControlRequestType::kJoin:
      onJoin(token, request, now);
      return;
    case ControlRequestType::kProxyPoll:
      onProxyPoll(token, request, now);
      return;
    case ControlRequestType::kQuotaReport:
      onQuotaReport(token, request, now);
      return;
    case ControlRequestType::kStatus:
    case ControlRequestType::kIdentity: {
      ControlReply reply;
      reply.status = status(now);
      reply.authoritative = authoritative(now);
      answer(token, std::move(reply));
      return;
    }
    case ControlRequestType::kBootstrap:
      onBootstrap(token, now);
      return;
    case ControlRequestType::kAddMember:
    case ControlRequestType::kRemoveMember:
      onMemberChange(token, request);
      return;
    case ControlRequestType::kSessions:
      onSessions(token, request, now);
      return;
  }
  answerError(token, ErrorKind::kMalformedRequest, "unknown type of request");
}

void ControlCore::onBootstrap(ControlToken token, TimePoint now) {
  Member self;
  self.id = raft_.id();
  self.name = options_.name;
  self.address = options_.address;
  self.voter = true;
  // The first member's id, drawn at random for its empty data folder, becomes the group id.
  if (!raft_.bootstrap(raft_.id(), self, now)) {
    answerError(token, ErrorKind::kVersionConflict,
                "this member already belongs to a group or has a log; nothing was changed");
    return;
  }
  state_.setGroupId(raft_.groupId());
  answer(token, {});
}

void ControlCore::onCommand(ControlToken token, const ControlRequest& request) {
  Command command = request.command;
  command.leader_clock_ms = wall_clock_ms_;
  counters_.commands += 1;
  counters_.claims += command.claims.size();
  addProposal(token, raft_.propose(encode(command)));
}

void ControlCore::addProposal(ControlToken token, const std::optional<LogIndex>& index) {
  if (!index) {
    answerError(token, ErrorKind::kNotLeader,
                raft_.role() == RaftRole::kLeader ? "another member change is under way"
                                                  : "this member does not lead");
    return;
  }
  proposals_[*index] = {token, raft_.term()};
}

void ControlCore::requestRead(ControlToken token, const ControlRequest& request) {
  const std::uint64_t read_id = next_read_id_++;
  reads_.emplace(read_id, std::make_pair(token, request));
  raft_.requestRead(read_id);
}

void ControlCore::answerRead(std::uint64_t read_id, bool ready) {
  if (const auto confirmation = confirmation_reads_.find(read_id);
      confirmation != confirmation_reads_.end()) {
    ready ? read_index_.on_read_index(confirmation->second, applied_)
          : read_index_.on_failed(confirmation->second);
    confirmation_reads_.erase(confirmation);
    return;
  }
  const auto found = reads_.find(read_id);
  if (found == reads_.end()) {
    return;
  }
  const auto [token, request] = std::move(found->second);
  reads_.erase(found);
  ControlReply reply;
  if (!ready && request.type != ControlRequestType::kPoll) {
    answerError(token, ErrorKind::kNotLeader, "this member does not lead");
    return;
  }
  reply.authoritative = ready;
  reply.quorum_confirmed = ready;
  if (request.type == ControlRequestType::kPoll) {
    HeldPoll poll;
    poll.request = request.poll;
    hasUpdates(poll, reply);
    answer(token, std::move(reply));
    return;
  }
  if (request.type == ControlRequestType::kReadIndex) {
    reply.read_index = applied_;
    answer(token, std::move(reply));
    return;
  }
  if (request.type == ControlRequestType::kReadDepartures) {
    answerDepartures(token, request);
    return;
  }
  if (request.type == ControlRequestType::kReadTraffic) {
    reply.traffic_document = state_.traffic().document();
    answer(token, std::move(reply));
    return;
  }
  reply.has_configuration = true;
  reply.configuration = state_.configuration();
  if (request.type == ControlRequestType::kListPlans) {
    reply.plans.assign(state_.plans().begin(), state_.plans().end());
  }
  answer(token, std::move(reply));
}

void ControlCore::answerDepartures(ControlToken token, const ControlRequest& request) {
  const auto query = decode<departure_query>(request.proxy_poll);
  if (!query) {
    answerError(token, ErrorKind::kMalformedRequest, "not a query of departures");
    return;
  }
  ControlReply reply;
  reply.authoritative = true;
  reply.quorum_confirmed = true;
  reply.proxy_update = encode(state_.departures().departures_of(query->proxy_address));
  answer(token, std::move(reply));
}

void ControlCore::onRequesterGone(ControlToken token) {
  polls_.erase(token);
  proxy_polls_.erase(token);
}

void ControlCore::onRaftMessage(const RaftMessage& message, const std::string& sender_address,
                                TimePoint now) {
  if (raft_.membership().find(message.from) == nullptr && message.to == raft_.id()) {
    if (sender_addresses_.size() >= kMaximumSenderAddresses) {
      sender_addresses_.clear();
    }
    sender_addresses_[message.from] = sender_address;
  }
  raft_.step(message, now);
  const bool from_leader = message.type == RaftMessageType::kAppendRequest ||
                           message.type == RaftMessageType::kSnapshotRequest;
  if (from_leader && raft_.leader() == message.from) {
    last_contact_ = now;
  }
}

void ControlCore::onPlatformList(const std::vector<ServerInfo>& servers, TimePoint /*now*/) {
  registry_.setPlatformList(servers);
}

void ControlCore::tick(TimePoint now, std::int64_t wall_clock_ms) {
  wall_clock_ms_ = wall_clock_ms;
  raft_.tick(now);
  const bool leads = raft_.role() == RaftRole::kLeader;
  counters_.elections_won += leads && !was_leader_ ? 1 : 0;
  if (leads && !was_leader_) {
    quotas_.restart(now);
    proposed_evidence_counter_ = 0;
  }
  was_leader_ = leads;
  failPendingIfNotLeader();
  changeMembersIfDue(now);
  proposeEvidence(now);
  loadReplicatedEvidence(now);
  answerHeldPolls(now);
  startConfirmationRound(now);
  answerHeldProxyPolls(now);
  if (now >= next_pull_) {
    next_pull_ = now + options_.session_pull_interval;
    pullSessions();
  }
}

void ControlCore::failPendingIfNotLeader() {
  if (raft_.role() == RaftRole::kLeader || proposals_.empty()) {
    return;
  }
  for (const auto& [index, proposal] : proposals_) {
    answerError(proposal.token, ErrorKind::kNotLeader, "leadership was lost; ask again");
  }
  proposals_.clear();
}

ControlWork ControlCore::take(TimePoint now) {
  ControlWork work;
  static_cast<void>(now);
  work.snapshot = snapshotIfDue();
  work.raft = raft_.ready();
  work.answers = std::exchange(answers_, {});
  work.member_requests = std::exchange(member_requests_, {});
  return work;
}

std::optional<Snapshot> ControlCore::snapshotIfDue() {
  if (applied_ <= raft_.snapshotIndex() || !snapshots_.is_due()) {
    return std::nullopt;
  }
  counters_.snapshots += 1;
  std::string state = encode(state_.snapshot());
  snapshots_.on_snapshot({state.size()});
  return raft_.compact(applied_, std::move(state));
}

void ControlCore::done(const ControlWork& work, TimePoint now) {
  raft_.advance();
  if (work.raft.install_snapshot) {
    installSnapshot(*work.raft.install_snapshot);
  }
  for (const LogEntry& entry : work.raft.committed) {
    applyEntry(entry);
  }
  for (const std::uint64_t read_id : work.raft.reads_ready) {
    answerRead(read_id, true);
  }
  for (const std::uint64_t read_id : work.raft.reads_failed) {
    answerRead(read_id, false);
  }
  if (configuration_changed_) {
    answerHeldPolls(now);
  }
  read_index_.on_applied(applied_);
  answerHeldProxyPolls(now);
}

void ControlCore::applyEntry(const LogEntry& entry) {
  applied_ = entry.index;
  snapshots_.on_applied({entry.payload.size()});
  CommandResult result;
  if (entry.type == EntryType::kCommand) {
    const auto command = decode<Command>(entry.payload);
    const ConfigurationVersion before = state_.configuration().version;
    if (command) {
      result = state_.apply(*command, {entry.term, entry.index});
      traffic_history_.on_in_force(state_.traffic().logIndex(), state_.traffic().configuration());
      replicated_evidence_changed_ =
          replicated_evidence_changed_ || command->type == CommandType::kRecordEvidence;
    } else {
      result.error = ErrorKind::kMalformedRequest;
    }
    if (before != state_.configuration().version) {
      configuration_changed_ = true;
      recordDelta(*command, before);
    }
  }
  state_.setGroupId(raft_.groupId());
  const auto proposal = proposals_.find(entry.index);
  if (proposal == proposals_.end()) {
    return;
  }
  const PendingProposal pending = proposal->second;
  proposals_.erase(proposal);
  if (pending.term != entry.term) {
    answerError(pending.token, ErrorKind::kNotLeader, "another leader took over; ask again");
    return;
  }
  ControlReply reply;
  reply.authoritative = true;
  reply.result = std::move(result);
  answer(pending.token, std::move(reply));
}

void ControlCore::installSnapshot(const Snapshot& snapshot) {
  const auto decoded = decode<StoredControlState>(snapshot.state);
  if (decoded) {
    state_.restore(*decoded);
    traffic_history_.on_in_force(state_.traffic().logIndex(), state_.traffic().configuration());
  }
  state_.setGroupId(raft_.groupId());
  applied_ = snapshot.index;
  snapshots_.on_snapshot({snapshot.state.size()});
  replicated_evidence_changed_ = true;
  configuration_changed_ = true;
  deltas_.clear();
}

ControlStatus ControlCore::status(TimePoint now) const {
  ControlStatus status;
  status.group_id = raft_.groupId();
  status.self = raft_.id();
  status.name = options_.name;
  status.term = raft_.term();
  status.commit = raft_.commitIndex();
  status.last = raft_.lastIndex();
  status.snapshot = raft_.snapshotIndex();
  status.sessions = registry_.sessionCount();
  status.claims = state_.claimCount();
  for (const Member& member : raft_.membership().members) {
    MemberStatus row;
    row.member = member;
    row.leader = member.id == raft_.leader();
    const auto heard = raft_.lastHeardFrom(member.id);
    row.heard = heard.has_value() || member.id == raft_.id();
    if (heard) {
      row.silent_ms = static_cast<std::uint64_t>((now - *heard).count() / 1000);
    }
    status.members.push_back(std::move(row));
  }
  return status;
}

}  // namespace ramppond
