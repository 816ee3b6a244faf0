// ControlCore: held polls of the call port's daemons, answered with configuration changes and
// server lists.
#include <algorithm>
#include <numeric>

#include "core/cbor_codec.h"
#include "core/control/control_core.h"

namespace ramppond {
namespace {

// Number of configuration changes kept. A daemon that is further behind gets the whole
// configuration.
constexpr std::size_t kMaximumDeltas = 64;
// Beyond this number of changes the whole configuration is cheaper to send and to apply.
constexpr std::size_t kMaximumDeltaChanges = 100;

}  // namespace

void ControlCore::onPoll(ControlToken token, const PollRequest& request, TimePoint now) {
  counters_.polls += 1;
  registry_.onSession(request.session, now);
  if (request.quorum_read && raft_.role() == RaftRole::kLeader) {
    ControlRequest read;
    read.type = ControlRequestType::kPoll;
    read.poll = request;
    requestRead(token, read);
    return;
  }
  HeldPoll poll;
  poll.request = request;
  poll.due = now + std::min(request.hold, kMaximumPollHold);
  ControlReply reply;
  const bool has_updates = hasUpdates(poll, reply);
  if (has_updates || request.hold <= Duration(0) || !authoritative(now)) {
    answerPoll(token, std::move(reply), now);
    return;
  }
  poll.seen_registry_version = registry_.version();
  polls_.emplace(token, std::move(poll));
}

// Adds to `reply` what the daemon does not have yet. Returns whether there is anything.
bool ControlCore::hasUpdates(const HeldPoll& poll, ControlReply& reply) {
  const PollRequest& request = poll.request;
  bool has_updates = false;
  if (request.have < state_.configuration().version) {
    addConfiguration(request.have, reply);
    has_updates = true;
  }
  for (const ServiceInterest& interest : request.interests) {
    if (registry_.versionOf(interest.service) <= poll.seen_registry_version) {
      continue;
    }
    ServiceServers servers =
        registry_.serversFor(interest.service, request.zone, request.session.server);
    if (servers.digest != interest.digest) {
      reply.services.push_back(std::move(servers));
      has_updates = true;
    }
  }
  return has_updates;
}

const std::string& ControlCore::encodedConfiguration() {
  if (encoded_configuration_.empty() || encoded_version_ != state_.configuration().version) {
    encoded_version_ = state_.configuration().version;
    encoded_configuration_ = encode(state_.configuration());
  }
  return encoded_configuration_;
}

void ControlCore::addConfiguration(ConfigurationVersion have, ControlReply& reply) {
  const auto first =
      std::find_if(deltas_.begin(), deltas_.end(),
                   [&](const ConfigurationDelta& delta) { return delta.base == have; });
  const std::size_t changes = std::accumulate(
      first, deltas_.end(), std::size_t{0},
      [](std::size_t sum, const ConfigurationDelta& delta) { return sum + delta.changes.size(); });
  const bool has_version = have != ConfigurationVersion{};
  if (has_version && first != deltas_.end() && changes <= kMaximumDeltaChanges) {
    reply.deltas.assign(first, deltas_.end());
    return;
  }
  reply.whole_configuration = encodedConfiguration();
}

void ControlCore::recordDelta(const Command& command, ConfigurationVersion before) {
  const Plan* plan = state_.findPlan(command.plan_id);
  if (plan == nullptr) {
    deltas_.clear();
    return;
  }
  deltas_.push_back({before, state_.configuration().version, plan->changes});
  if (deltas_.size() > kMaximumDeltas) {
    deltas_.pop_front();
  }
}

void ControlCore::answerPoll(ControlToken token, ControlReply reply, TimePoint now) {
  reply.authoritative = authoritative(now);
  const bool sends_configuration = !reply.whole_configuration.empty() || !reply.deltas.empty();
  counters_.configuration_pushes += sends_configuration ? 1 : 0;
  answer(token, std::move(reply));
}

void ControlCore::answerHeldPolls(TimePoint now) {
  for (auto held = polls_.begin(); held != polls_.end();) {
    HeldPoll& poll = held->second;
    ControlReply reply;
    const bool may_have_updates =
        configuration_changed_ || poll.seen_registry_version != registry_.version();
    const bool has_updates = may_have_updates && hasUpdates(poll, reply);
    poll.seen_registry_version = registry_.version();
    if (!has_updates && now < poll.due && authoritative(now)) {
      ++held;
      continue;
    }
    answerPoll(held->first, std::move(reply), now);
    held = polls_.erase(held);
  }
  configuration_changed_ = false;
}

}  // namespace ramppond
