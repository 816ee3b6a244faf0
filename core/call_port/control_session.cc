#include "core/call_port/control_session.h"

#include <algorithm>

#include "core/call_model/planning.h"
#include "core/cbor_codec.h"

namespace ramppond {
namespace {

constexpr std::size_t kMaximumBatch = 256;
constexpr std::size_t kMaximumBatchesUnderWay = 4;
constexpr Duration kClaimBatchTimeout = milliseconds(800);
constexpr Duration kClaimBackoff = milliseconds(30);
constexpr Duration kClaimLifetime = milliseconds(1500);
constexpr std::size_t kMaximumQueuedClaims = 20000;
constexpr std::size_t kMaximumSuperseded = 8;
constexpr Duration kShortestPollBackoff = milliseconds(50);
constexpr std::uint64_t kPollBackoffSpreadUs = 200000;
constexpr std::uint32_t kMaximumBackoffDoublings = 4;
// A daemon in service must not wait long on one lost poll: versions have 14 s to arrive.
constexpr std::uint32_t kMaximumConfirmedDoublings = 2;

}  // namespace

ControlSession::ControlSession(ControlSessionOptions options)
    : options_(std::move(options)),
      random_(options_.random_seed),
      holder_(options_.refuse_older_configuration) {
  upstream_ = random_.below(options_.control_addresses.size());
}

void ControlSession::offerSaved(const Configuration& configuration) {
  configuration_changed_ = holder_.offer(configuration) || configuration_changed_;
}

void ControlSession::addInterest(const std::string& service) {
  session_dirty_ = interests_.emplace(service, 0).second || session_dirty_;
}

void ControlSession::setDraining(bool draining) {
  session_dirty_ = session_dirty_ || draining != draining_;
  draining_ = draining;
}

void ControlSession::carry(const std::vector<ClaimAction>& claims, TimePoint now) {
  for (const ClaimAction& action : claims) {
    claims_.push_back({action, now});
  }
  while (claims_.size() > kMaximumQueuedClaims) {
    claims_.pop_front();
  }
}

// Doubles with every failed poll, so that members which cannot keep up get slower questions and
// longer to answer each: a start of the whole fleet at once must not feed on its own retries.
std::int64_t ControlSession::backoff() const {
  const std::uint32_t most = confirmed_ ? kMaximumConfirmedDoublings : kMaximumBackoffDoublings;
  return std::int64_t{1} << std::min(failures_, most);
}

const std::string& ControlSession::upstreamAddress() const {
  return options_.control_addresses.at(upstream_ % options_.control_addresses.size());
}

void ControlSession::tick(TimePoint now, DaemonActions& actions) {
  if (options_.control_addresses.empty()) {
    return;
  }
  if (first_tick_ < TimePoint(0)) {
    first_tick_ = now;
  }
  stale_ = stale_ || (!confirmed_ && now - first_tick_ >= options_.stale_after);
  if (poll_id_ == 0 && now >= next_poll_) {
    poll_id_ = next_request_id_;
    // After a failure the first question is what was missed, not what comes next.
    const bool wait_for_news = confirmed_ && !session_dirty_ && failures_ == 0;
    sendPoll(wait_for_news ? options_.hold : Duration(0), actions);
  } else if (session_dirty_ && poll_id_ != 0 && superseded_.size() < kMaximumSuperseded) {
    // The member holds a poll that does not say this yet: a new one takes its place.
    superseded_.insert(poll_id_);
    poll_id_ = next_request_id_;
    sendPoll(confirmed_ ? options_.hold : Duration(0), actions);
  }
  sendClaims(now, actions);
}

void ControlSession::sendPoll(Duration hold, DaemonActions& actions) {
  counters_.polls += 1;
  session_dirty_ = false;
  SendToControl send;
  send.address = !confirmed_ && !leader_address_.empty() ? leader_address_ : upstreamAddress();
  send.request_id = next_request_id_++;
  send.timeout = hold + options_.answer_margin * backoff();
  send.request.type = ControlRequestType::kPoll;
  PollRequest& poll = send.request.poll;
  poll.session.server = options_.server;
  poll.session.incarnation = options_.incarnation;
  poll.session.draining = draining_;
  poll.session.started_ms = options_.started_ms;
  poll.zone = options_.zone;
  // A member hands out nothing older than what a daemon says that it has.
  const bool tell = !whole_wanted_ && options_.refuse_older_configuration;
  poll.have = tell ? holder_.current().version : ConfigurationVersion{};
  poll.quorum_read = !confirmed_;
  poll.hold = hold;
  for (const auto& [service, digest] : interests_) {
    poll.interests.push_back({service, digest});
  }
  actions.emplace_back(std::move(send));
}

void ControlSession::sendClaims(TimePoint now, DaemonActions& actions) {
  if (claims_.empty() || now < next_claims_ || batches_.size() >= kMaximumBatchesUnderWay) {
    return;
  }
  Batch batch;
  batch.type = claims_.front().action.type;
  while (!claims_.empty() && claims_.front().action.type == batch.type &&
         batch.claims.size() < kMaximumBatch) {
    batch.claims.push_back(std::move(claims_.front()));
    claims_.pop_front();
  }
  SendToControl send;
  send.address = leader_address_.empty() ? upstreamAddress() : leader_address_;
  send.request_id = next_request_id_++;
  send.timeout = kClaimBatchTimeout;
  send.request.type = ControlRequestType::kCommand;
  send.request.command.type = batch.type;
  for (const QueuedClaim& claim : batch.claims) {
    send.request.command.claims.push_back(claim.action.command);
  }
  batches_.emplace(send.request_id, std::move(batch));
  actions.emplace_back(std::move(send));
}

void ControlSession::onReply(std::uint64_t request_id, const std::optional<ControlReply>& reply,
                             TimePoint now, DaemonActions& actions) {
  if (reply && !reply->leader_address.empty()) {
    leader_address_ = reply->leader_address;
  }
  const auto batch = batches_.find(request_id);
  if (batch != batches_.end()) {
    const Batch sent = std::move(batch->second);
    batches_.erase(batch);
    onBatchReply(sent, reply, now);
    sendClaims(now, actions);
    return;
  }
  if (request_id == poll_id_) {
    poll_id_ = 0;
    onPollReply(reply, now, actions);
  } else if (superseded_.erase(request_id) != 0 && reply && reply->error == ErrorKind::kNone) {
    takeNews(*reply, actions);
  }
}

void ControlSession::onPollReply(const std::optional<ControlReply>& reply, TimePoint now,
                                 DaemonActions& actions) {
  if (!reply || reply->error != ErrorKind::kNone) {
    counters_.poll_failures += 1;
    failures_ += 1;
    leader_address_ = reply ? reply->leader_address : std::string();
    nextUpstream(now);
    return;
  }
  failures_ = 0;
  takeNews(*reply, actions);
  if (!reply->authoritative) {
    // A member without a leader may be cut off, and what it says may be old.
    nextUpstream(now);
    return;
  }
  if (!confirmed_) {
    next_poll_ = now + kShortestPollBackoff;
  }
}

void ControlSession::takeNews(const ControlReply& reply, DaemonActions& actions) {
  takeConfiguration(reply, actions);
  for (const ServiceServers& update : reply.services) {
    const auto interest = interests_.find(update.service);
    if (interest != interests_.end()) {
      interest->second = update.digest;
      server_updates_.push_back(update);
    }
  }
}

void ControlSession::takeConfiguration(const ControlReply& reply, DaemonActions& actions) {
  if (offerDeltas(reply.deltas)) {
    counters_.configurations_taken += 1;
    configuration_changed_ = true;
    actions.emplace_back(SaveConfiguration{holder_.current()});
  }
  const auto whole = reply.whole_configuration.empty()
                         ? std::nullopt
                         : decode<Configuration>(reply.whole_configuration);
  if (whole) {
    whole_wanted_ = false;
    if (holder_.offer(*whole)) {
      counters_.configurations_taken += 1;
      configuration_changed_ = true;
      actions.emplace_back(SaveConfiguration{holder_.current()});
    } else if (whole->version < holder_.current().version) {
      counters_.configurations_refused += 1;
    }
  }
  if (reply.quorum_confirmed && !confirmed_) {
    confirmed_ = true;
    configuration_changed_ = true;
  }
}

// Applies what follows the version held; steps that are known already are passed over.
bool ControlSession::offerDeltas(const std::vector<ConfigurationDelta>& deltas) {
  Configuration next = holder_.current();
  for (const ConfigurationDelta& delta : deltas) {
    if (delta.base != next.version) {
      continue;
    }
    if (applyChanges(delta.changes, next)) {
      whole_wanted_ = true;
      return false;
    }
    next.version = delta.version;
  }
  return next.version != holder_.current().version && holder_.offer(next);
}

void ControlSession::nextUpstream(TimePoint now) {
  counters_.upstream_changes += 1;
  upstream_ += 1;
  const std::uint64_t spread = kPollBackoffSpreadUs * static_cast<std::uint64_t>(backoff());
  const auto jitter = Duration(static_cast<std::int64_t>(random_.below(spread)));
  next_poll_ = now + kShortestPollBackoff + jitter;
}

void ControlSession::onBatchReply(const Batch& batch, const std::optional<ControlReply>& reply,
                                  TimePoint now) {
  const bool done = reply && reply->error == ErrorKind::kNone;
  if (done && batch.type == CommandType::kClaim) {
    const auto& replies = reply->result.claims;
    for (std::size_t index = 0; index < std::min(replies.size(), batch.claims.size()); ++index) {
      claim_results_.push_back({batch.claims[index].action.command.holder, replies[index]});
    }
  }
  if (done) {
    return;
  }
  leader_address_ = reply ? reply->leader_address : std::string();
  if (leader_address_.empty()) {
    upstream_ += 1;
  }
  next_claims_ = now + kClaimBackoff;
  for (auto claim = batch.claims.rbegin(); claim != batch.claims.rend(); ++claim) {
    const bool outlived = batch.type == CommandType::kClaim && now - claim->queued > kClaimLifetime;
    if (!outlived) {
      claims_.push_front(*claim);
    }
  }
}

}  // namespace ramppond
