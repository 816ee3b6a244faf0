// What a member learns from the other members: daemons' sessions, servers, evidence, proven reads.
#include "core/cbor_codec.h"
#include "core/control/control_core.h"

namespace ramppond {

// Learns the sessions that other members hold: each is asked what changed since the last time.
void ControlCore::pullSessions() {
  session_pulls_.clear();
  for (const Member& member : raft_.membership().members) {
    if (member.id == raft_.id()) {
      continue;
    }
    MemberRequest pull;
    pull.address = member.address;
    pull.request_id = next_member_request_id_++;
    pull.request.type = ControlRequestType::kSessions;
    pull.request.sender = raft_.id();
    pull.request.sessions_since = pulled_counters_[member.address];
    const KnownRegistry& known = pulled_registries_[member.address];
    ProxyPoll poll;
    poll.traffic_index = kNoTrafficWanted;  // Members have it from the log.
    poll.registry_epoch = known.epoch;
    poll.registry_counter = known.counter;
    poll.evidence_counter = known.evidence_counter;
    pull.request.proxy_poll = encode(poll);
    session_pulls_.emplace(pull.request_id, member.address);
    member_requests_.push_back(std::move(pull));
  }
}

void ControlCore::onMemberReply(std::uint64_t request_id, const std::optional<ControlReply>& reply,
                                TimePoint now) {
  if (const auto proof = proof_requests_.find(request_id); proof != proof_requests_.end()) {
    const bool confirmed = reply && reply->error == ErrorKind::kNone && reply->quorum_confirmed;
    confirmed ? proof_.on_index(proof->second, reply->read_index) : proof_.on_failed(proof->second);
    proof_requests_.erase(proof);
    proof_.on_applied(applied_);
    return;
  }
  const auto pull = session_pulls_.find(request_id);
  if (pull == session_pulls_.end()) {
    return;
  }
  std::uint64_t& counter = pulled_counters_[pull->second];
  const std::string address = pull->second;
  KnownRegistry& known = pulled_registries_[address];
  session_pulls_.erase(pull);
  if (!reply) {
    return;
  }
  // A counter that ran backwards means that the member restarted: start over with it.
  counter = reply->sessions_counter < counter ? 0 : reply->sessions_counter;
  for (const DaemonSession& session : reply->sessions) {
    registry_.onSession(session, now);
  }
  const auto news = decode<ProxyNews>(reply->proxy_news);
  if (!news) {
    return;
  }
  takeZone(address, *news);
  known = {news->registry_epoch, news->registry_counter, news->evidence_counter};
  for (const auto& record : news->instances) {
    instances_.offer(record.value);
  }
  for (const instance_evidence& evidence : news->evidence) {
    evidence_.offer(evidence, now);
  }
}

}  // namespace ramppond
