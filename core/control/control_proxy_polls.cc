// ControlCore: held polls of the forwarding path's daemons, answered with the traffic
// configuration, instance records, crash evidence and the control members.
#include <algorithm>
#include <utility>

#include "core/cbor_codec.h"
#include "core/control/control_core.h"

namespace ramppond {
namespace {

// Maximum time for which a poll that is due waits for a quorum's confirmation, which takes a few
// round trips between members. It is then answered without, since unconfirmed updates are still
// useful.
constexpr Duration kMaximumConfirmationWait = milliseconds(250);
// Evidence of crashes that come shortly after each other is batched into one log entry.
constexpr Duration kEvidenceProposalInterval = milliseconds(200);
constexpr std::size_t kMaximumEvidencePerEntry = 32;
// A daemon that starts to poll gets the records of all servers in consecutive answers of this size.
// This bounds the memory that a member needs per daemon to about 30 KB, however many servers there
// are.
constexpr std::size_t kMaximumRecordsPerAnswer = 256;
// Maximum number of replaced records kept for the log. Bounds memory if nobody takes them.
constexpr std::size_t kMaximumReplacements = 64;

}  // namespace

void ControlCore::onProxyPoll(ControlToken token, const ControlRequest& request, TimePoint now) {
  const auto poll = decode<ProxyPoll>(request.proxy_poll);
  if (!poll) {
    answerError(token, ErrorKind::kMalformedRequest, "not a poll");
    return;
  }
  counters_.polls += 1;
  if (poll->has_self) {
    storeRecord(poll->self);
  }
  for (const instance_evidence& evidence : poll->evidence) {
    evidence_.offer(evidence, now);
  }
  HeldProxyPoll held;
  held.poll = *poll;
  held.received = now;
  held.due = now + std::min(poll->hold, kMaximumPollHold);
  if (mayAnswer(held, now)) {
    answerProxyPoll(token, held, now);
    return;
  }
  proxy_polls_.emplace(token, std::move(held));
}

void ControlCore::storeRecord(const InstanceRecord& record) {
  const InstanceRecord* known = instances_.find(record.proxy_address);
  const bool restarted = known != nullptr && known->proxy_incarnation < record.proxy_incarnation;
  if (restarted && replacements_.size() < kMaximumReplacements) {
    replacements_.push_back({*known, record});
  }
  instances_.offer(record);
}

// While this member hears no leader, a poll of a daemon that has a configuration is answered at
// once as not authoritative, so that the daemon polls another member. A daemon without a
// configuration is held: when the whole system starts, every member is still electing.
bool ControlCore::mayAnswer(const HeldProxyPoll& held, TimePoint now) const {
  if (now >= held.due) {
    return !awaitsConfirmation(held, now);
  }
  return authoritative(now) ? hasProxyUpdates(held, now) : held.poll.traffic_index != 0;
}

bool ControlCore::hasProxyUpdates(const HeldProxyPoll& held, TimePoint now) const {
  const ProxyPoll& poll = held.poll;
  if (poll.traffic_index < state_.traffic().logIndex() ||
      poll.registry_epoch != options_.registry_epoch) {
    return true;
  }
  // This member has a newer record of the daemon itself: the daemon restarted with an older number.
  const InstanceRecord* own = poll.has_self ? instances_.find(poll.self.proxy_address) : nullptr;
  if (own != nullptr && own->isNewerThan(poll.self)) {
    return true;
  }
  if (poll.has_self && evidence_.has_changes(poll.evidence_counter, poll.evidence_service)) {
    return true;
  }
  if (poll.registry_counter >= instances_.counter()) {
    return false;
  }
  const std::uint64_t changes = instances_.counter() - poll.registry_counter;
  return changes >= kMaximumRecordsPerAnswer ||
         now - held.received >= options_.minimum_instance_update_interval;
}

bool ControlCore::awaitsConfirmation(const HeldProxyPoll& held, TimePoint now) const {
  return held.poll.requests_quorum_confirmation && !read_index_.covers(held.received) &&
         authoritative(now) &&
         now - held.received < std::max(held.due - held.received, kMaximumConfirmationWait);
}

// Starts one confirmation round for all polls that have arrived since the last round.
void ControlCore::startConfirmationRound(TimePoint now) {
  const bool wanted = std::any_of(proxy_polls_.begin(), proxy_polls_.end(), [&](const auto& entry) {
    return entry.second.poll.requests_quorum_confirmation &&
           !read_index_.covers(entry.second.received);
  });
  if (!wanted || raft_.leader() == 0) {
    return;
  }
  const auto round = read_index_.begin(now);
  if (!round) {
    return;
  }
  if (raft_.role() != RaftRole::kLeader) {
    requestReadIndexFromLeader(*round);
    return;
  }
  const std::uint64_t read_id = next_read_id_++;
  confirmation_reads_[read_id] = *round;
  raft_.requestRead(read_id);
}

void ControlCore::requestReadIndexFromLeader(read_index_tracker::round_id round) {
  MemberRequest member_request;
  member_request.address = leaderAddress();
  member_request.request_id = next_member_request_id_++;
  member_request.request.type = ControlRequestType::kReadIndex;
  member_request.request.sender = raft_.id();
  confirmation_requests_[member_request.request_id] = round;
  member_requests_.push_back(std::move(member_request));
}

// Proposes evidence for the log. Members hold it in memory and daemons report it again, but it
// would be lost if all of them lost power at once.
void ControlCore::proposeEvidence(TimePoint now) {
  if (raft_.role() != RaftRole::kLeader || now < next_evidence_proposal_ ||
      proposed_evidence_counter_ == evidence_.counter()) {
    return;
  }
  next_evidence_proposal_ = now + kEvidenceProposalInterval;
  evidence_batch batch;
  for (const instance_evidence& evidence :
       evidence_.changes_since(proposed_evidence_counter_, std::string(), now)) {
    if (state_.evidence().wants(evidence) && batch.records.size() < kMaximumEvidencePerEntry) {
      batch.records.push_back(evidence);
    }
  }
  if (batch.records.size() < kMaximumEvidencePerEntry) {
    // A full batch leaves the counter as it is, so that the rest follows with the next entry.
    proposed_evidence_counter_ = evidence_.counter();
  }
  if (batch.records.empty()) {
    return;
  }
  Command command;
  command.type = CommandType::kRecordEvidence;
  command.leader_clock_ms = wall_clock_ms_;
  command.records = encode(batch);
  raft_.propose(encode(command));
}

void ControlCore::loadReplicatedEvidence(TimePoint now) {
  if (!std::exchange(replicated_evidence_changed_, false)) {
    return;
  }
  for (const instance_evidence& evidence : state_.evidence().records_at(wall_clock_ms_)) {
    evidence_.offer(evidence, now);
  }
}

void ControlCore::addTraffic(const ProxyPoll& poll, ProxyUpdate& update) {
  if (poll.traffic_index >= state_.traffic().logIndex()) {
    return;
  }
  update.traffic_index = state_.traffic().logIndex();
  if (poll.accepts_differences) {
    update.traffic_difference = traffic_history_.difference_from(poll.traffic_index);
  }
  if (update.traffic_difference.empty()) {
    update.traffic = traffic_history_.whole();
  }
}

ControlMemberLocation ControlCore::placeOf(const std::string& address) const {
  const auto zone = member_zones_.find(address);
  return {address, zone == member_zones_.end() ? std::string() : zone->second};
}

void ControlCore::addMembers(const ProxyPoll& poll, ProxyUpdate& update) const {
  std::vector<ControlMemberLocation> members;
  if (poll.has_self) {
    for (const Member& member : raft_.membership().members) {
      members.push_back(placeOf(member.address));
    }
  } else {
    members.push_back(placeOf(options_.address));
  }
  if (poll.has_self && poll.members_digest == digestOf(members)) {
    return;
  }
  for (ControlMemberLocation& member : members) {
    update.member_addresses.push_back(std::move(member.address));
    update.member_zones.push_back(std::move(member.zone));
  }
}

// Takes from a member's answer only that member's own zone, on which it is the authority.
void ControlCore::recordMemberZone(const std::string& address, const ProxyUpdate& update) {
  for (const ControlMemberLocation& place : locationsOf(update)) {
    if (place.address == address && !place.zone.empty()) {
      member_zones_[address] = place.zone;
    }
  }
}

ProxyUpdate ControlCore::proxyUpdate(const ProxyPoll& poll, TimePoint now) {
  ProxyUpdate update;
  addTraffic(poll, update);
  const bool knows_this_member = poll.registry_epoch == options_.registry_epoch;
  update.registry_epoch = options_.registry_epoch;
  // Control members poll without a record of their own and get all records at once.
  const std::size_t maximum = poll.has_self ? kMaximumRecordsPerAnswer : instances_.size();
  RegistryChanges changes = instances_.changesSince(knows_this_member ? poll.registry_counter : 0,
                                                    maximum, poll.record_digests);
  update.registry_counter = changes.counter;
  update.instances = std::move(changes.records);
  // Control members get all evidence, a daemon only that of its server's service.
  update.evidence_counter = evidence_.counter();
  if (!poll.has_self || !poll.evidence_service.empty()) {
    const std::uint64_t since = knows_this_member ? poll.evidence_counter : 0;
    update.evidence = evidence_.changes_since(since, poll.evidence_service, now);
  }
  addMembers(poll, update);
  return update;
}

void ControlCore::answerProxyPoll(ControlToken token, const HeldProxyPoll& held, TimePoint now) {
  const ProxyPoll& poll = held.poll;
  ProxyUpdate update = proxyUpdate(poll, now);
  const InstanceRecord* own = poll.has_self ? instances_.find(poll.self.proxy_address) : nullptr;
  if (own != nullptr && own->isNewerThan(poll.self)) {
    update.instances.emplace_back(*own);
  }
  counters_.configuration_pushes += update.traffic_index == 0 ? 0 : 1;
  ControlReply reply;
  reply.authoritative = authoritative(now);
  reply.quorum_confirmed = read_index_.covers(held.received);
  reply.proxy_update = encode(update);
  answer(token, std::move(reply));
}

void ControlCore::answerHeldProxyPolls(TimePoint now) {
  for (auto held = proxy_polls_.begin(); held != proxy_polls_.end();) {
    if (!mayAnswer(held->second, now)) {
      ++held;
      continue;
    }
    answerProxyPoll(held->first, held->second, now);
    held = proxy_polls_.erase(held);
  }
}

}  // namespace ramppond
