// ControlCore: requests to the other members for sessions, instance records, evidence, zones and
// the read index.
#include "core/cbor_codec.h"
#include "core/control/control_core.h"

namespace ramppond {

// Requests from each other member what changed there since its last answer.
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
  if (const auto confirmation = confirmation_requests_.find(request_id);
      confirmation != confirmation_requests_.end()) {
    const bool confirmed = reply && reply->error == ErrorKind::kNone && reply->quorum_confirmed;
    confirmed ? read_index_.on_read_index(confirmation->second, reply->read_index)
              : read_index_.on_failed(confirmation->second);
    confirmation_requests_.erase(confirmation);
    read_index_.on_applied(applied_);
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
  // A counter that went backwards means that the member restarted: fetch everything again.
  counter = reply->sessions_counter < counter ? 0 : reply->sessions_counter;
  for (const DaemonSession& session : reply->sessions) {
    registry_.onSession(session, now);
  }
  const auto update = decode<ProxyUpdate>(reply->proxy_update);
  if (!update) {
    return;
  }
  recordMemberZone(address, *update);
  known = {update->registry_epoch, update->registry_counter, update->evidence_counter};
  for (const auto& record : update->instances) {
    storeRecord(record.value);
  }
  for (const instance_evidence& evidence : update->evidence) {
    evidence_.offer(evidence, now);
  }
}

}  // namespace ramppond
