#include "core/lifecycle/local_server.h"

#include <utility>

namespace ramppond {
namespace {

// Maximum number of incarnations that are kept. Bounds memory; late heartbeats of older
// incarnations are rare.
constexpr std::size_t kRememberedIncarnations = 64;
// A clock that was set back makes a new server look older than its predecessor. It still replaces
// the current server after this time without a heartbeat of the latter: three missed heartbeats of
// the usual three seconds. With a shorter time late heartbeats of a former server replace the
// current one; with a longer one the new server stays idle.
constexpr Duration kSilenceBeforeReplacement = seconds(10);

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
    evictIncarnation();
  }
  Incarnation& sender = incarnations_[incarnation];
  if (sender.left || (!first && heartbeat.sequence <= sender.sequence)) {
    return false;
  }
  sender.sequence = heartbeat.sequence;
  const bool was_draining = std::exchange(sender.draining, heartbeat.draining);
  if (heartbeat.draining && !was_draining) {
    announceDeparture(incarnation, heartbeat.sequence);
  }
  sender.acknowledged_before = sender.acknowledged_before && heartbeat.draining;
  if (known_ && !isCurrent(incarnation)) {
    const bool heard_again = std::exchange(challenger_, incarnation) == incarnation;
    if (!mayReplaceCurrent(heartbeat, first, heard_again, now)) {
      return false;
    }
  }
  return acceptAsCurrent(heartbeat, now);
}

bool LocalServer::acceptAsCurrent(const ServerHeartbeat& heartbeat, TimePoint now) {
  const Incarnation& sender = incarnations_[heartbeat.incarnation()];
  const bool same = isCurrent(heartbeat.incarnation());
  const bool was_draining = admitted_until_.has_value();
  const bool draining = heartbeat.draining || sender.reported_leaving;
  const bool changed = !same || was_draining != draining || current_.slots != heartbeat.slots ||
                       current_.service != heartbeat.service;
  if (!draining) {
    admitted_until_.reset();
  } else if (!same || !was_draining) {
    admitted_until_ = endOfAdmission(sender, now);
  }
  challenger_.clear();
  known_ = true;
  current_ = heartbeat;
  last_heartbeat_ = now;
  return changed;
}

// Of two servers at one address, the one that started later is alive, even if heartbeats of the
// other arrive late. If they don't report their start times, the one that has sent fewer heartbeats
// started later. A server that continues to send heartbeats while the other is silent is alive too.
bool LocalServer::mayReplaceCurrent(const ServerHeartbeat& heartbeat, bool first, bool heard_again,
                                    TimePoint now) const {
  if (heartbeat.started_ms && current_.started_ms &&
      *heartbeat.started_ms != *current_.started_ms) {
    const bool later = *heartbeat.started_ms > *current_.started_ms;
    return later || (heard_again && now - last_heartbeat_ >= kSilenceBeforeReplacement);
  }
  return first || heard_again || heartbeat.sequence < current_.sequence;
}

bool LocalServer::onLeave(const ServerLeave& leave, TimePoint now) {
  const std::string current = known_ ? current_.incarnation() : std::string();
  const bool of_current = known_ && !leave.started_ms && current_.instance_id == leave.instance_id;
  const std::string leaving =
      of_current ? current : incarnationName(leave.instance_id, leave.started_ms);
  if (incarnations_.count(leaving) == 0) {
    evictIncarnation();
  }
  Incarnation& left = incarnations_[leaving];
  if (!std::exchange(left.left, true)) {
    announceDeparture(leaving, any_sequence);
  }
  if (current != leaving || admitted_until_) {
    return false;
  }
  admitted_until_ = endOfAdmission(left, now);
  return true;
}

void LocalServer::announceDeparture(const std::string& incarnation, std::uint64_t last_sequence) {
  departures_.push_back({std::string(), incarnation, last_sequence});
}

TimePoint LocalServer::endOfAdmission(const Incarnation& leaving, TimePoint now) const {
  return leaving.acknowledged_before ? now : now + draining_admission_;
}

bool LocalServer::restore(const departure_batch& acknowledged, TimePoint now) {
  bool changed = false;
  for (const server_departure& departure : acknowledged.departures) {
    const bool known = incarnations_.count(departure.server_incarnation) != 0;
    if (!known) {
      evictIncarnation();
    }
    Incarnation& leaving = incarnations_[departure.server_incarnation];
    if (known && leaving.sequence > departure.last_sequence) {
      continue;  // A later heartbeat has reverted or repeated the announcement.
    }
    leaving.sequence = departure.last_sequence;
    leaving.left = leaving.left || departure.last_sequence == any_sequence;
    leaving.draining = true;
    leaving.acknowledged_before = true;
    if (isCurrent(departure.server_incarnation)) {
      changed = changed || !admitted_until_;
      admitted_until_ = now;
    }
  }
  return changed;
}

bool LocalServer::onLeavingAnswer(const std::string& incarnation, TimePoint now) {
  if (!isCurrent(incarnation)) {
    return false;
  }
  Incarnation& leaving = incarnations_[incarnation];
  if (!std::exchange(leaving.reported_leaving, true)) {
    announceDeparture(incarnation, any_sequence);
  }
  if (admitted_until_) {
    return false;
  }
  admitted_until_ = endOfAdmission(leaving, now);
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
         (found->second.left || found->second.draining || found->second.reported_leaving);
}

FenceVerdict LocalServer::admit(const std::string& incarnation, const std::string& service,
                                TimePoint now) const {
  if (!known_) {
    return FenceVerdict::kNoServer;
  }
  if (current_.incarnation() != incarnation || current_.service != service) {
    return FenceVerdict::kOtherInstance;
  }
  if (admitted_until_ && now > *admitted_until_) {
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
  record.state = admitted_until_ ? InstanceState::kDraining : InstanceState::kReady;
  return record;
}

void LocalServer::evictIncarnation() {
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
