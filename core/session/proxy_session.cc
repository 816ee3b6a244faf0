#include "core/session/proxy_session.h"

#include <algorithm>

#include "core/cbor_codec.h"
#include "core/distribution/traffic_difference.h"

namespace ramppond {
namespace {

// Pause after a failed poll, doubled after every third consecutive failure, plus random jitter.
constexpr Duration kMinBackoff = milliseconds(50);
constexpr std::uint64_t kBackoffSpreadUs = 50000;
constexpr std::uint32_t kFailuresPerDoubling = 3;
// With more, a configuration would arrive seconds late after several failed polls.
constexpr std::uint32_t kMaximumDoublings = 3;
// Consecutive unconfirmed answers before the proxy switches to another coordinator, since one that
// is disconnected from the leader notices this late. With 1, each lost confirmation would cause a
// switch.
constexpr std::uint32_t kMaximumUnconfirmedAnswers = 2;
// If an answer has at least this many records, the coordinator probably sends all of them. The next
// poll then carries digests, so that known records are omitted. With a smaller number, digests
// would be sent with ordinary changes.
constexpr std::size_t kManyRecords = 64;

}  // namespace

ProxySession::ProxySession(ProxySessionOptions options)
    : options_(std::move(options)),
      random_(options_.random_seed),
      incarnation_(options_.incarnation),
      members_({options_.random_seed, options_.zone}, options_.seeds) {}

void ProxySession::setOwnRecord(InstanceRecord record) {
  if (!record.service.empty() && record.service != evidence_service_) {
    evidence_service_ = record.service;
    evidence_counter_ = 0;
  }
  record_ = std::move(record);
  revision_ += 1;
  record_.proxy_incarnation = incarnation_;
  record_.revision = revision_;
  digests_.put(record_);
  has_record_ = true;
  record_unreported_ = true;
}

void ProxySession::reportEvidence(const instance_evidence& evidence, TimePoint now) {
  evidence_unreported_ = evidence_.offer(evidence, now) || evidence_unreported_;
}

void ProxySession::setSeeds(const std::vector<std::string>& seeds) {
  members_.set_seeds(seeds);
}

bool ProxySession::isPollDue(TimePoint now) const {
  if (members_.empty()) {
    return false;
  }
  const bool under_way = poll_id_ != 0;
  return under_way ? record_unreported_ || evidence_unreported_ : now >= next_poll_;
}

std::optional<OutgoingPoll> ProxySession::takePoll(TimePoint now) {
  if (!isPollDue(now)) {
    return std::nullopt;
  }
  if (poll_id_ == 0 && members_.return_if_due(now)) {
    forgetMember();
    member_untried_ = true;
  }
  const ProxyPoll poll = makePoll(now);
  OutgoingPoll outgoing;
  outgoing.address = members_.current();
  outgoing.poll_id = next_poll_id_++;
  outgoing.timeout = poll.hold + options_.answer_margin;
  outgoing.request.type = ControlRequestType::kProxyPoll;
  outgoing.request.proxy_poll = encode(poll);
  poll_id_ = outgoing.poll_id;
  record_unreported_ = false;
  evidence_unreported_ = false;
  evidence_in_poll_ = evidence_.counter();
  return outgoing;
}

ProxyPoll ProxySession::makePoll(TimePoint now) const {
  ProxyPoll poll;
  poll.has_self = has_record_;
  poll.self = record_;
  poll.traffic_index = traffic_index_;
  poll.registry_epoch = registry_epoch_;
  poll.registry_counter = registry_counter_;
  poll.hold = holdOfPoll();
  poll.requests_quorum_confirmation = options_.requests_quorum_confirmation;
  poll.evidence = evidence_.changes_since(evidence_reported_, std::string(), now);
  poll.evidence_service = evidence_service_;
  poll.evidence_counter = evidence_counter_;
  if (digests_due_) {
    poll.record_digests = digests_.buckets();
  }
  poll.accepts_differences = hasTraffic() && !full_traffic_due_;
  poll.members_digest = members_digest_;
  return poll;
}

// After a failure the coordinator must answer at once, since changes may have been missed and the
// coordinator may be down.
Duration ProxySession::holdOfPoll() const {
  if (!hasTraffic()) {
    return options_.first_hold;
  }
  return failures_ == 0 && !member_untried_ ? options_.hold : Duration(0);
}

std::optional<TimePoint> ProxySession::nextPoll() const {
  return poll_id_ == 0 ? std::optional<TimePoint>(next_poll_) : std::nullopt;
}

bool ProxySession::onReply(std::uint64_t poll_id, const std::optional<ControlReply>& reply,
                           TimePoint now) {
  const bool current = poll_id == poll_id_;
  const bool answered = reply && reply->error == ErrorKind::kNone;
  const auto update = answered ? decode<ProxyUpdate>(reply->proxy_update) : std::nullopt;
  if (current) {
    poll_id_ = 0;
  }
  if (!update) {
    if (current) {
      record_unreported_ = has_record_;
      tryNextMember(now);
    }
    return false;
  }
  onLeaderNamed(reply->leader_address);
  const bool member_restarted = registry_epoch_ != 0 && update->registry_epoch != registry_epoch_;
  if (member_restarted) {
    evidence_reported_ = 0;
  } else if (current) {
    evidence_reported_ = evidence_in_poll_;
  }
  takeEvidenceUpdate(*update, now);
  takeUpdate(*update, reply->authoritative);
  if (reply->authoritative) {
    takeMembers(*update, now);
  }
  const bool is_up_to_date = traffic_index_ >= update->traffic_index;
  return current && takeCurrentAnswer(*reply, now) && is_up_to_date;
}

bool ProxySession::takeCurrentAnswer(const ControlReply& reply, TimePoint now) {
  unconfirmed_answers_ = reply.quorum_confirmed ? 0 : unconfirmed_answers_ + 1;
  const bool confirmation_missing = options_.requests_quorum_confirmation && hasTraffic() &&
                                    unconfirmed_answers_ >= kMaximumUnconfirmedAnswers;
  if (!reply.authoritative || confirmation_missing) {
    unconfirmed_answers_ = 0;
    record_unreported_ = has_record_;
    tryNextMember(now);
    return false;
  }
  failures_ = 0;
  member_untried_ = false;
  members_.on_answered();
  upstream_ = members_.current();
  next_poll_ = hasTraffic() ? now : now + kMinBackoff;
  return reply.quorum_confirmed;
}

void ProxySession::onLeaderNamed(const std::string& address) {
  if (!address.empty()) {
    leader_ = address;
  }
}

void ProxySession::takeMembers(const ProxyUpdate& update, TimePoint now) {
  if (update.member_addresses.empty()) {
    return;
  }
  const std::vector<ControlMemberLocation> members = locationsOf(update);
  members_.on_members(members, now);
  members_digest_ = digestOf(members);
}

void ProxySession::takeRecords(const ProxyUpdate& update) {
  registry_epoch_ = update.registry_epoch;
  registry_counter_ = update.registry_counter;
  digests_due_ = update.instances.size() >= kManyRecords;
  for (const auto& received : update.instances) {
    const InstanceRecord& record = received.value;
    if (has_record_ && record.proxy_address == record_.proxy_address) {
      supersedeOwnRecord(record);
    } else {
      digests_.put(record);
      new_instances_.push_back(record);
    }
  }
}

std::optional<TrafficConfiguration> ProxySession::takeDifference(const ProxyUpdate& update) {
  const auto difference = decode<traffic_difference>(update.traffic_difference);
  const bool fits = difference && difference->base_index == traffic_index_;
  auto traffic = fits ? apply(*difference, traffic_) : std::nullopt;
  full_traffic_due_ = !traffic;
  return traffic;
}

void ProxySession::takeUpdate(const ProxyUpdate& update, bool authoritative) {
  takeRecords(update);
  // A coordinator without contact to the leader may hold an old version.
  if (!authoritative || update.traffic_index <= traffic_index_) {
    return;
  }
  auto traffic = update.traffic_difference.empty() ? decode<TrafficConfiguration>(update.traffic)
                                                   : takeDifference(update);
  if (traffic) {
    traffic_ = std::move(*traffic);
    traffic_index_ = update.traffic_index;
    traffic_changed_ = true;
    full_traffic_due_ = false;
  }
}

// Evidence received from a coordinator is not reported back to it.
void ProxySession::takeEvidenceUpdate(const ProxyUpdate& update, TimePoint now) {
  evidence_counter_ = update.evidence_counter;
  const bool all_reported = evidence_reported_ == evidence_.counter();
  for (const instance_evidence& evidence : update.evidence) {
    if (evidence_.offer(evidence, now)) {
      new_evidence_.push_back(evidence);
    }
  }
  evidence_reported_ = all_reported ? evidence_.counter() : evidence_reported_;
}

// An earlier process of this proxy used an incarnation at least as high, since its clock was ahead.
void ProxySession::supersedeOwnRecord(const InstanceRecord& known) {
  if (!known.isNewerThan(record_)) {
    return;
  }
  incarnation_ = known.proxy_incarnation + 1;
  setOwnRecord(record_);
}

void ProxySession::forgetMember() {
  upstream_.clear();
  registry_epoch_ = 0;
  digests_due_ = true;
  evidence_reported_ = 0;
  member_untried_ = false;
}

void ProxySession::tryNextMember(TimePoint now) {
  members_.on_failed(now);
  forgetMember();
  const std::uint32_t doublings = std::min(failures_ / kFailuresPerDoubling, kMaximumDoublings);
  failures_ += 1;
  const auto jitter = Duration(static_cast<std::int64_t>(random_.below(kBackoffSpreadUs)));
  next_poll_ = now + kMinBackoff * (std::int64_t{1} << doublings) + jitter;
}

}  // namespace ramppond
