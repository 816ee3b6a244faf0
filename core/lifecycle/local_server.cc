#include "core/lifecycle/local_server.h"

#include <utility>

namespace ramppond {
namespace {

// Bounds memory; late heartbeats of older incarnations are rare.
constexpr std::size_t kRememberedIncarnations = 64;
// A clock that was set back makes a new server look older than its predecessor. After this silence
// of the current server, three missed heartbeats of the usual three seconds, it is taken over all
// the same. Shorter, late heartbeats of a former server take over; longer, the new one stays idle.
constexpr Duration kSilenceBeforeOlderStart = seconds(10);

}  // namespace

std::string incarnationName(const std::string& instance_id,
                            std::optional<std::int64_t> started_ms) {
  return started_ms ? instance_id + "@" + std::to_string(*started_ms) : instance_id;
}

bool LocalServer::isCurrent(const std::string& incarnation) const {
  return known_ && current_.incarnation() == incarnation;
}

bool LocalServer::onHeartbeat(const ServerHeartbeat& heartbeat, TimePoint now) {
  const std::string incarnation = heartbeat.incarnation();
  const bool first = incarnations_.count(incarnation) == 0;
  if (first) {
    makeRoom();
  }
  Incarnation& sender = incarnations_[incarnation];
  if (sender.left || (!first && heartbeat.sequence <= sender.sequence)) {
    return false;
  }
  sender.sequence = heartbeat.sequence;
  sender.draining = heartbeat.draining;
  if (known_ && !isCurrent(incarnation)) {
    const bool heard_again = std::exchange(contender_, incarnation) == incarnation;
    if (!maySucceed(heartbeat, first, heard_again, now)) {
      return false;
    }
  }
  return takeOver(heartbeat, now);
}

bool LocalServer::takeOver(const ServerHeartbeat& heartbeat, TimePoint now) {
  const bool same = isCurrent(heartbeat.incarnation());
  const bool was_draining = draining_since_.has_value();
  const bool draining = heartbeat.draining || incarnations_[heartbeat.incarnation()].said_leaving;
  const bool changed = !same || was_draining != draining || current_.slots != heartbeat.slots ||
                       current_.service != heartbeat.service;
  if (!draining) {
    draining_since_.reset();
  } else if (!same || !was_draining) {
    draining_since_ = now;
  }
  contender_.clear();
  known_ = true;
  current_ = heartbeat;
  last_heartbeat_ = now;
  return changed;
}

// Of two servers at one address the one that started later is alive, whatever arrives late from the
// other. Where they don't report when they started, the one that has sent fewer heartbeats started
// later. One that goes on to send heartbeats while the other is silent is alive too.
bool LocalServer::maySucceed(const ServerHeartbeat& heartbeat, bool first, bool heard_again,
                             TimePoint now) const {
  if (heartbeat.started_ms && current_.started_ms &&
      *heartbeat.started_ms != *current_.started_ms) {
    const bool later = *heartbeat.started_ms > *current_.started_ms;
    return later || (heard_again && now - last_heartbeat_ >= kSilenceBeforeOlderStart);
  }
  return first || heard_again || heartbeat.sequence < current_.sequence;
}

bool LocalServer::onLeave(const ServerLeave& leave, TimePoint now) {
  const std::string current = known_ ? current_.incarnation() : std::string();
  const bool of_current = known_ && !leave.started_ms && current_.instance_id == leave.instance_id;
  const std::string leaving =
      of_current ? current : incarnationName(leave.instance_id, leave.started_ms);
  if (incarnations_.count(leaving) == 0) {
    makeRoom();
  }
  incarnations_[leaving].left = true;
  if (current != leaving || draining_since_) {
    return false;
  }
  draining_since_ = now;
  return true;
}

bool LocalServer::onLeavingAnswer(const std::string& incarnation, TimePoint now) {
  if (!isCurrent(incarnation)) {
    return false;
  }
  incarnations_[incarnation].said_leaving = true;
  if (draining_since_) {
    return false;
  }
  draining_since_ = now;
  return true;
}

bool LocalServer::onWrongInstance(const std::string& incarnation) {
  if (!isCurrent(incarnation)) {
    return false;
  }
  known_ = false;
  return true;
}

bool LocalServer::onConnectionRefused(const std::string& incarnation, std::size_t established) {
  return established == 0 && onWrongInstance(incarnation);
}

bool LocalServer::announcedLeave(const std::string& incarnation) const {
  const auto found = incarnations_.find(incarnation);
  return found != incarnations_.end() &&
         (found->second.left || found->second.draining || found->second.said_leaving);
}

FenceVerdict LocalServer::admit(const std::string& incarnation, const std::string& service,
                                TimePoint now) const {
  if (!known_) {
    return FenceVerdict::kNoServer;
  }
  if (current_.incarnation() != incarnation || current_.service != service) {
    return FenceVerdict::kOtherInstance;
  }
  if (draining_since_ && now - *draining_since_ > draining_admission_) {
    return FenceVerdict::kDraining;
  }
  return FenceVerdict::kAdmit;
}

InstanceRecord LocalServer::record() const {
  InstanceRecord record;
  if (!known_) {
    return record;
  }
  record.server_incarnation = current_.incarnation();
  record.service = current_.service;
  record.slots = current_.slots;
  record.cold_left = current_.cold_left;
  record.state = draining_since_ ? InstanceState::kDraining : InstanceState::kReady;
  return record;
}

void LocalServer::makeRoom() {
  if (incarnations_.size() < kRememberedIncarnations) {
    return;
  }
  for (auto other = incarnations_.begin(); other != incarnations_.end(); ++other) {
    if (!isCurrent(other->first)) {
      incarnations_.erase(other);
      return;
    }
  }
}

}  // namespace ramppond
