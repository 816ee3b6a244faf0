#include "core/lifecycle/local_server.h"

#include <utility>

namespace ramppond {
namespace {

constexpr std::size_t kRememberedInstances = 64;
// A clock that was set back makes a new server look older than the one before it. Three heartbeats
// of the usual three seconds are missed by then.
constexpr Duration kSilenceBeforeOlderReturns = seconds(10);

}  // namespace

std::string incarnationName(const std::string& instance_id,
                            std::optional<std::int64_t> started_ms) {
  return started_ms ? instance_id + "@" + std::to_string(*started_ms) : instance_id;
}

bool LocalServer::onHeartbeat(const ServerHeartbeat& heartbeat, TimePoint now) {
  const std::string incarnation = heartbeat.incarnation();
  const bool first = past_.count(incarnation) == 0;
  if (first) {
    forgetOldest();
  }
  Past& past = past_[incarnation];
  if (past.left || (!first && heartbeat.sequence <= past.sequence)) {
    return false;
  }
  past.sequence = heartbeat.sequence;
  past.draining = heartbeat.draining;
  const bool same = known_ && current_.incarnation() == incarnation;
  if (known_ && !same && !maySucceed(heartbeat, first, now)) {
    return false;
  }
  insisting_.clear();
  const bool changed = !same || draining_ != heartbeat.draining ||
                       current_.slots != heartbeat.slots || current_.service != heartbeat.service;
  if (heartbeat.draining && !(same && draining_)) {
    draining_since_ = now;
  }
  known_ = true;
  draining_ = heartbeat.draining;
  current_ = heartbeat;
  heard_ = now;
  return changed;
}

// Of two servers at one address the one that started later lives, whatever comes late of the other.
// Where they do not tell when they started, the one that has sent fewer heartbeats began later. One
// that goes on to send while the other is silent lives too, whatever its count.
bool LocalServer::maySucceed(const ServerHeartbeat& heartbeat, bool first, TimePoint now) {
  const std::string incarnation = heartbeat.incarnation();
  const bool insists = std::exchange(insisting_, incarnation) == incarnation;
  if (heartbeat.started_ms && current_.started_ms &&
      *heartbeat.started_ms != *current_.started_ms) {
    const bool later = *heartbeat.started_ms > *current_.started_ms;
    return later || (insists && now - heard_ >= kSilenceBeforeOlderReturns);
  }
  return first || insists || heartbeat.sequence < current_.sequence;
}

bool LocalServer::onLeave(const ServerLeave& leave, TimePoint now) {
  const std::string current = known_ ? current_.incarnation() : std::string();
  const bool of_current = known_ && !leave.started_ms && current_.instance_id == leave.instance_id;
  const std::string leaving =
      of_current ? current : incarnationName(leave.instance_id, leave.started_ms);
  if (past_.count(leaving) == 0) {
    forgetOldest();
  }
  past_[leaving].left = true;
  if (current != leaving || draining_) {
    return false;
  }
  draining_ = true;
  draining_since_ = now;
  return true;
}

bool LocalServer::onWrongInstance(const std::string& incarnation) {
  if (!known_ || current_.incarnation() != incarnation) {
    return false;
  }
  known_ = false;
  return true;
}

bool LocalServer::onConnectionRefused(const std::string& incarnation, std::size_t established) {
  return established == 0 && onWrongInstance(incarnation);
}

bool LocalServer::announcedEnd(const std::string& incarnation) const {
  const auto past = past_.find(incarnation);
  return past != past_.end() && (past->second.left || past->second.draining);
}

FenceVerdict LocalServer::admit(const std::string& incarnation, const std::string& service,
                                TimePoint now) const {
  if (!known_) {
    return FenceVerdict::kNoServer;
  }
  if (current_.incarnation() != incarnation || current_.service != service) {
    return FenceVerdict::kOtherInstance;
  }
  if (draining_ && now - draining_since_ > draining_admission_) {
    return FenceVerdict::kDraining;
  }
  return FenceVerdict::kAdmit;
}

InstanceRecord LocalServer::record() const {
  InstanceRecord record;
  if (!known_) {
    return record;
  }
  record.instance_id = current_.incarnation();
  record.service = current_.service;
  record.slots = current_.slots;
  record.cold_left = current_.cold_left;
  record.state = draining_ ? InstanceState::kDraining : InstanceState::kReady;
  return record;
}

void LocalServer::forgetOldest() {
  if (past_.size() < kRememberedInstances) {
    return;
  }
  for (auto past = past_.begin(); past != past_.end(); ++past) {
    if (!known_ || past->first != current_.incarnation()) {
      past_.erase(past);
      return;
    }
  }
}

}  // namespace ramppond
