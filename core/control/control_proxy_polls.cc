// Held polls of the daemons of the forwarding path: routes, records of servers, members.
#include <algorithm>
#include <utility>

#include "core/cbor_codec.h"
#include "core/control/control_core.h"

namespace ramppond {
namespace {

// A round of confirmation takes a few round trips between members. Without it a poll that is due is
// answered all the same: news is worth having unconfirmed.
constexpr Duration kProofWait = milliseconds(250);
// Ends of servers that come together are kept by one entry of the log.
constexpr Duration kEvidenceInterval = milliseconds(200);
constexpr std::size_t kMostEvidenceAnEntry = 32;
// A daemon that has just begun to ask is told of all servers in answers of this length, one after
// the other: what a member holds for each of its daemons at a time, about 30 KB, does not grow with
// the number of servers.
constexpr std::size_t kMostRecordsAnAnswer = 256;

}  // namespace

void ControlCore::onProxyPoll(ControlToken token, const ControlRequest& request, TimePoint now) {
  const auto poll = decode<ProxyPoll>(request.proxy_poll);
  if (!poll) {
    answerError(token, ErrorKind::kMalformedRequest, "not a poll");
    return;
  }
  counters_.polls += 1;
  if (poll->has_self) {
    instances_.offer(poll->self);
  }
  for (const instance_evidence& evidence : poll->evidence) {
    evidence_.offer(evidence, now);
  }
  HeldProxyPoll held;
  held.poll = *poll;
  held.received = now;
  held.due = now + std::min(poll->hold, kLongestPollHold);
  if (mayAnswer(held, now)) {
    answerProxyPoll(token, held, now);
    return;
  }
  proxy_polls_.emplace(token, std::move(held));
}

// A daemon that has a configuration is told at once that this member hears no leader, and asks
// another. One that has none yet waits here: after a start of everything, all members are electing.
bool ControlCore::mayAnswer(const HeldProxyPoll& held, TimePoint now) const {
  if (now >= held.due) {
    return !awaitsProof(held, now);
  }
  return authoritative(now) ? hasProxyNews(held, now) : held.poll.traffic_index != 0;
}

bool ControlCore::hasProxyNews(const HeldProxyPoll& held, TimePoint now) const {
  const ProxyPoll& poll = held.poll;
  if (poll.traffic_index < state_.traffic().logIndex() ||
      poll.registry_epoch != options_.registry_epoch) {
    return true;
  }
  // The daemon's own record is known here in a newer form: it restarted with an older number.
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
  return changes >= kMostRecordsAnAnswer || now - held.received >= options_.instance_news_spacing;
}

bool ControlCore::awaitsProof(const HeldProxyPoll& held, TimePoint now) const {
  return held.poll.wants_proof && !proof_.covers(held.received) && authoritative(now) &&
         now - held.received < std::max(held.due - held.received, kProofWait);
}

// One round for all polls that came since the last one.
void ControlCore::proveStateForPolls(TimePoint now) {
  const bool wanted = std::any_of(proxy_polls_.begin(), proxy_polls_.end(), [&](const auto& entry) {
    return entry.second.poll.wants_proof && !proof_.covers(entry.second.received);
  });
  if (!wanted || raft_.leader() == 0) {
    return;
  }
  const auto round = proof_.begin(now);
  if (!round) {
    return;
  }
  if (raft_.role() != RaftRole::kLeader) {
    askLeaderForIndex(*round);
    return;
  }
  const std::uint64_t read_id = next_read_id_++;
  proof_reads_[read_id] = *round;
  raft_.requestRead(read_id);
}

void ControlCore::askLeaderForIndex(state_proof::round_id round) {
  MemberRequest question;
  question.address = leaderAddress();
  question.request_id = next_member_request_id_++;
  question.request.type = ControlRequestType::kReadIndex;
  question.request.sender = raft_.id();
  proof_requests_[question.request_id] = round;
  member_requests_.push_back(std::move(question));
}

// Members hold evidence in memory and daemons tell it again, but all may lose power at once.
void ControlCore::keepEvidence(TimePoint now) {
  if (raft_.role() != RaftRole::kLeader || now < next_evidence_kept_ ||
      evidence_kept_ == evidence_.counter()) {
    return;
  }
  next_evidence_kept_ = now + kEvidenceInterval;
  evidence_batch batch;
  for (const instance_evidence& evidence :
       evidence_.changes_since(evidence_kept_, std::string(), now)) {
    if (state_.evidence().wants(evidence) && batch.records.size() < kMostEvidenceAnEntry) {
      batch.records.push_back(evidence);
    }
  }
  if (batch.records.size() < kMostEvidenceAnEntry) {
    evidence_kept_ = evidence_.counter();  // Otherwise the rest follows with the next entry.
  }
  if (batch.records.empty()) {
    return;
  }
  Command command;
  command.type = CommandType::kRecordEvidence;
  command.leader_clock_ms = wall_clock_ms_;
  command.evidence = encode(batch);
  raft_.propose(encode(command));
}

void ControlCore::takeKeptEvidence(TimePoint now) {
  if (!std::exchange(evidence_to_take_, false)) {
    return;
  }
  for (const instance_evidence& evidence : state_.evidence().records_at(wall_clock_ms_)) {
    evidence_.offer(evidence, now);
  }
}

void ControlCore::addTraffic(const ProxyPoll& poll, ProxyNews& news) {
  if (poll.traffic_index >= state_.traffic().logIndex()) {
    return;
  }
  news.traffic_index = state_.traffic().logIndex();
  if (poll.takes_differences) {
    news.traffic_difference = traffic_history_.difference_from(poll.traffic_index);
  }
  if (news.traffic_difference.empty()) {
    news.traffic = traffic_history_.whole();
  }
}

ControlMemberLocation ControlCore::placeOf(const std::string& address) const {
  const auto zone = member_zones_.find(address);
  return {address, zone == member_zones_.end() ? std::string() : zone->second};
}

void ControlCore::addMembers(const ProxyPoll& poll, ProxyNews& news) const {
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
    news.member_addresses.push_back(std::move(member.address));
    news.member_zones.push_back(std::move(member.zone));
  }
}

// Each member is the authority on its own zone.
void ControlCore::takeZone(const std::string& address, const ProxyNews& news) {
  for (const ControlMemberLocation& place : locationsOf(news)) {
    if (place.address == address && !place.zone.empty()) {
      member_zones_[address] = place.zone;
    }
  }
}

ProxyNews ControlCore::proxyNews(const ProxyPoll& poll, TimePoint now) {
  ProxyNews news;
  addTraffic(poll, news);
  const bool knows_this_member = poll.registry_epoch == options_.registry_epoch;
  news.registry_epoch = options_.registry_epoch;
  // Members, which ask without a record of their own, are told all at once.
  const std::size_t most = poll.has_self ? kMostRecordsAnAnswer : instances_.size();
  RegistryChanges changes = instances_.changesSince(knows_this_member ? poll.registry_counter : 0,
                                                    most, poll.record_digests);
  news.registry_counter = changes.counter;
  news.instances = std::move(changes.records);
  // Members are told all evidence, a daemon that of its server's service.
  news.evidence_counter = evidence_.counter();
  if (!poll.has_self || !poll.evidence_service.empty()) {
    const std::uint64_t since = knows_this_member ? poll.evidence_counter : 0;
    news.evidence = evidence_.changes_since(since, poll.evidence_service, now);
  }
  addMembers(poll, news);
  return news;
}

void ControlCore::answerProxyPoll(ControlToken token, const HeldProxyPoll& held, TimePoint now) {
  const ProxyPoll& poll = held.poll;
  ProxyNews news = proxyNews(poll, now);
  const InstanceRecord* own = poll.has_self ? instances_.find(poll.self.proxy_address) : nullptr;
  if (own != nullptr && own->isNewerThan(poll.self)) {
    news.instances.emplace_back(*own);
  }
  counters_.configuration_pushes += news.traffic_index == 0 ? 0 : 1;
  ControlReply reply;
  reply.authoritative = authoritative(now);
  reply.quorum_confirmed = proof_.covers(held.received);
  reply.proxy_news = encode(news);
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
