#include "core/local_server.h"

namespace ramppond {
namespace {

constexpr std::size_t kRememberedInstances = 64;

}  // namespace

bool LocalServer::onHeartbeat(const ServerHeartbeat& heartbeat, TimePoint now) {
  const bool first = past_.count(heartbeat.instance_id) == 0;
  if (first) {
    forgetOldest();
  }
  Past& past = past_[heartbeat.instance_id];
  if (past.left || (!first && heartbeat.sequence <= past.sequence)) {
    return false;
  }
  past.sequence = heartbeat.sequence;
  past.draining = heartbeat.draining;
  const bool same = known_ && current_.instance_id == heartbeat.instance_id;
  if (known_ && !same && !first && !mayReturn(heartbeat)) {
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
  return changed;
}

// Of two instances at one address the one that has sent fewer heartbeats began later, so it is the
// one that lives. One that goes on to send while the other is silent lives too, whatever its count.
bool LocalServer::mayReturn(const ServerHeartbeat& heartbeat) {
  const bool insists = insisting_ == heartbeat.instance_id;
  insisting_ = heartbeat.instance_id;
  return insists || heartbeat.sequence < current_.sequence;
}

bool LocalServer::onLeave(const std::string& instance_id, TimePoint now) {
  if (past_.count(instance_id) == 0) {
    forgetOldest();
  }
  past_[instance_id].left = true;
  if (!known_ || current_.instance_id != instance_id || draining_) {
    return false;
  }
  draining_ = true;
  draining_since_ = now;
  return true;
}

bool LocalServer::onWrongInstance(const std::string& instance_id) {
  if (!known_ || current_.instance_id != instance_id) {
    return false;
  }
  known_ = false;
  return true;
}

bool LocalServer::onConnectionRefused(const std::string& instance_id, std::size_t established) {
  return established == 0 && onWrongInstance(instance_id);
}

bool LocalServer::announcedEnd(const std::string& instance_id) const {
  const auto past = past_.find(instance_id);
  return past != past_.end() && (past->second.left || past->second.draining);
}

FenceVerdict LocalServer::admit(const std::string& instance_id, const std::string& service,
                                TimePoint now) const {
  if (!known_) {
    return FenceVerdict::kNoServer;
  }
  if (current_.instance_id != instance_id || current_.service != service) {
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
  record.instance_id = current_.instance_id;
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
    if (!known_ || past->first != current_.instance_id) {
      past_.erase(past);
      return;
    }
  }
}

}  // namespace ramppond
