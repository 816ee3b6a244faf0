#include "core/placement/instance_directory.h"

#include <algorithm>
#include <iterator>

#include "core/admission/slowdown_factor.h"

namespace ramppond {
namespace {

// For this time a server that refused a request for lack of capacity is chosen after others. With a
// shorter time the next requests are refused too; with a longer one a server with free slots stays
// idle.
constexpr Duration kRefusalPenaltyTime = milliseconds(100);
// A fenced server is skipped for this time only, since the refusal may be older than the record
// that is held. With a longer time a late refusal excludes a ready server.
constexpr Duration kFenceTime = milliseconds(1000);
// A proxy that could not be connected to is the last choice for this time, which doubles with each
// consecutive failure. With a shorter time more requests wait for connections that fail; with a
// longer one a proxy that is back stays idle.
constexpr Duration kFirstUnreachablePause = milliseconds(200);
constexpr std::uint32_t kMaximumPauseDoublings = 4;
// Maximum number of routes with a known service time at one server. Bounds memory.
constexpr std::size_t kMaximumRoutes = 64;

// std::nullopt if the report names none.
std::optional<double> slowdownOf(const ServerLoad& load) {
  if (!load.slowdown_percent || *load.slowdown_percent == 0) {
    return std::nullopt;
  }
  return clamped_slowdown(*load.slowdown_percent).value;
}

placement_policy makePolicy(InstanceDirectoryOptions options) {
  if (options.placement == placement_kind::expected_completion) {
    return expected_completion({options.zone, options.random_seed, options.load_queries});
  }
  return utilization_cost(std::move(options.zone), options.random_seed);
}

}  // namespace

InstanceDirectory::InstanceDirectory(InstanceDirectoryOptions options)
    : policy_(makePolicy(std::move(options))) {}

bool InstanceDirectory::offer(const InstanceRecord& record) {
  KnownInstance& known = by_proxy_[record.proxy_address];
  const bool first = known.record.proxy_address.empty();
  if (!first && !record.isNewerThan(known.record)) {
    return false;
  }
  const bool proxy_restarted = !first && known.record.proxy_incarnation != record.proxy_incarnation;
  const bool other_server = known.record.server_incarnation != record.server_incarnation;
  if (known.record.service != record.service) {
    moveToService(known, record.service);
  }
  if (other_server) {
    known.load = ServerLoad{};
    known.slowdown.reset();
    known.service_times.clear();
    known.refused_until = TimePoint(0);
  }
  if (proxy_restarted) {
    known.liveness = peer_liveness();
  }
  known.fenced_until = TimePoint(0);
  known.failures = 0;
  known.unreachable_until = TimePoint(0);
  known.record = record;
  return proxy_restarted;
}

void InstanceDirectory::moveToService(KnownInstance& instance, const std::string& service) {
  auto& former = by_service_[instance.record.service];
  former.erase(std::remove(former.begin(), former.end(), &instance), former.end());
  by_service_[service].push_back(&instance);
}

bool InstanceDirectory::usable(const KnownInstance& instance, const std::string& service,
                               const std::set<std::string>& excluded, TimePoint now) const {
  const bool open = instance.record.state == InstanceState::kReady ||
                    instance.record.state == InstanceState::kStopping;
  const bool leaving = !instance.leaving_incarnation.empty() &&
                       instance.leaving_incarnation == instance.record.server_incarnation;
  return open && !leaving && instance.fenced_until <= now && instance.record.service == service &&
         excluded.count(instance.record.proxy_address) == 0;
}

std::vector<std::string> InstanceDirectory::proxiesOf(const std::string& service) const {
  std::vector<std::string> daemons;
  const auto found = by_service_.find(service);
  if (found == by_service_.end()) {
    return daemons;
  }
  for (const KnownInstance* instance : found->second) {
    if (instance->record.state == InstanceState::kReady) {
      daemons.push_back(instance->record.proxy_address);
    }
  }
  return daemons;
}

KnownInstance* InstanceDirectory::choose(const std::string& service, const std::string& route,
                                         const std::set<std::string>& excluded, TimePoint now) {
  const auto found = by_service_.find(service);
  if (found == by_service_.end()) {
    return nullptr;
  }
  candidates_.clear();
  for (KnownInstance* instance : found->second) {
    if (usable(*instance, service, excluded, now)) {
      candidates_.push_back(instance);
    }
  }
  return ramppond::choose(policy_, candidates_, {route, excluded.empty(), now});
}

void InstanceDirectory::onSent(KnownInstance& instance, TimePoint now) {
  instance.sent += 1;
  instance.sent_since_report += 1;
  instance.liveness.on_sent(now);
  watch(instance);
}

void InstanceDirectory::onEnded(KnownInstance& instance) {
  instance.sent -= instance.sent > 0 ? 1 : 0;
  if (instance.sent == 0) {
    instance.liveness.on_idle();
  }
}

void InstanceDirectory::onLoad(KnownInstance& instance, const std::string& route,
                               const ServerLoad& load, TimePoint now) {
  instance.slowdown = slowdownOf(load);
  const bool known = instance.service_times.count(route) > 0;
  if (load.service_time > Duration(0) &&
      (known || instance.service_times.size() < kMaximumRoutes)) {
    instance.service_times[route] = {load.service_time, now, instance.slowdown.value_or(1)};
  }
  instance.load = load;
  instance.named_rate.reset();
  if (load.rate) {
    instance.named_rate = {instance.record.server_incarnation, *load.rate};
  }
  instance.load_reported = now;
  instance.sent_since_report = 0;
}

void InstanceDirectory::onRefused(KnownInstance& instance, TimePoint now) {
  instance.refused_until = now + kRefusalPenaltyTime;
}

void InstanceDirectory::onUnreachable(KnownInstance& instance, TimePoint now) {
  const std::uint32_t doublings = std::min(instance.failures, kMaximumPauseDoublings);
  instance.failures += 1;
  instance.unreachable_until = now + kFirstUnreachablePause * (std::int64_t{1} << doublings);
}

void InstanceDirectory::onReached(KnownInstance& instance, TimePoint now) {
  instance.failures = 0;
  instance.unreachable_until = TimePoint(0);
  instance.liveness.on_heard(now, instance.sent > 0 ? instance.sent - 1 : 0);
  watch(instance);
}

void InstanceDirectory::onPingAnswered(KnownInstance& instance, TimePoint now) {
  instance.liveness.on_heard(now, instance.sent);
  watch(instance);
}

void InstanceDirectory::watch(KnownInstance& instance) {
  if (!instance.liveness.is_idle()) {
    watched_[instance.record.proxy_address] = &instance;
  }
}

InstanceDirectory::LivenessChanges InstanceDirectory::checkLiveness(TimePoint now) {
  LivenessChanges changes;
  for (auto watched = watched_.begin(); watched != watched_.end();) {
    KnownInstance& instance = *watched->second;
    switch (instance.liveness.check(now)) {
      case liveness_step::none:
        break;
      case liveness_step::ping:
        changes.to_ping.push_back(&instance);
        break;
      case liveness_step::became_silent:
        changes.silent.push_back(&instance);
        break;
    }
    watched = instance.liveness.is_idle() ? watched_.erase(watched) : std::next(watched);
  }
  return changes;
}

void InstanceDirectory::onLeaving(KnownInstance& instance, const std::string& incarnation) {
  const bool of_present = incarnation == instance.record.server_incarnation;
  if (of_present || instance.leaving_incarnation != instance.record.server_incarnation) {
    instance.leaving_incarnation = incarnation;
  }
}

void InstanceDirectory::onFenced(KnownInstance& instance, TimePoint now) {
  instance.fenced_until = now + kFenceTime;
}

}  // namespace ramppond
