// Held polls of the daemons of the call port: configuration by differences, servers.
#include <algorithm>
#include <numeric>

#include "core/cbor_codec.h"
#include "core/control/control_core.h"

namespace ramppond {
namespace {

// A daemon that is further behind than this gets the whole configuration.
constexpr std::size_t kRememberedDeltas = 64;
// Many changes at once are cheaper to hand out, and to apply, as the whole.
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
  poll.due = now + std::min(request.hold, kLongestPollHold);
  ControlReply reply;
  const bool news = hasNews(poll, reply);
  if (news || request.hold <= Duration(0) || !authoritative(now)) {
    answerPoll(token, std::move(reply), now);
    return;
  }
  poll.seen_registry_version = registry_.version();
  polls_.emplace(token, std::move(poll));
}

// Fills `reply` with what the daemon does not have yet.
bool ControlCore::hasNews(const HeldPoll& poll, ControlReply& reply) {
  const PollRequest& request = poll.request;
  bool news = false;
  if (request.have < state_.configuration().version) {
    addConfiguration(request.have, reply);
    news = true;
  }
  for (const ServiceInterest& interest : request.interests) {
    if (registry_.versionOf(interest.service) <= poll.seen_registry_version) {
      continue;
    }
    ServiceServers servers =
        registry_.serversFor(interest.service, request.zone, request.session.server);
    if (servers.digest != interest.digest) {
      reply.services.push_back(std::move(servers));
      news = true;
    }
  }
  return news;
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
  const bool holds_something = have != ConfigurationVersion{};
  if (holds_something && first != deltas_.end() && changes <= kMaximumDeltaChanges) {
    reply.deltas.assign(first, deltas_.end());
    return;
  }
  reply.whole_configuration = encodedConfiguration();
}

void ControlCore::rememberDelta(const Command& command, ConfigurationVersion before) {
  const Plan* plan = state_.findPlan(command.plan_id);
  if (plan == nullptr) {
    deltas_.clear();
    return;
  }
  deltas_.push_back({before, state_.configuration().version, plan->changes});
  if (deltas_.size() > kRememberedDeltas) {
    deltas_.pop_front();
  }
}

void ControlCore::answerPoll(ControlToken token, ControlReply reply, TimePoint now) {
  reply.authoritative = authoritative(now);
  const bool hands_out = !reply.whole_configuration.empty() || !reply.deltas.empty();
  counters_.configuration_pushes += hands_out ? 1 : 0;
  answer(token, std::move(reply));
}

void ControlCore::answerHeldPolls(TimePoint now) {
  for (auto held = polls_.begin(); held != polls_.end();) {
    HeldPoll& poll = held->second;
    ControlReply reply;
    const bool look = configuration_changed_ || poll.seen_registry_version != registry_.version();
    const bool news = look && hasNews(poll, reply);
    poll.seen_registry_version = registry_.version();
    if (!news && now < poll.due && authoritative(now)) {
      ++held;
      continue;
    }
    answerPoll(held->first, std::move(reply), now);
    held = polls_.erase(held);
  }
  configuration_changed_ = false;
}

}  // namespace ramppond
