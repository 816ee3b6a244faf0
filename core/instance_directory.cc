#include "core/instance_directory.h"

#include <algorithm>

namespace ramppond {
namespace {

// Below this utilization a server of the own zone is taken without looking further: bytes between
// zones cost, and a queue is still unlikely.
constexpr double kOwnZoneUtilization = 0.75;
constexpr Duration kRefusalRemembered = milliseconds(100);
constexpr Duration kFenceRemembered = milliseconds(1000);
constexpr Duration kFirstUnreachable = milliseconds(200);
constexpr std::uint32_t kMaximumDoublings = 4;
// Without word from its daemon a server is taken to have this many slots usable.
constexpr double kAssumedLimit = 8;

}  // namespace

InstanceDirectory::InstanceDirectory(InstanceDirectoryOptions options)
    : options_(std::move(options)), random_(options_.random_seed) {}

void InstanceDirectory::offer(const InstanceRecord& record) {
  KnownInstance& known = by_daemon_[record.daemon_address];
  if (!known.record.daemon_address.empty() && !record.isNewerThan(known.record)) {
    return;
  }
  if (known.record.service != record.service) {
    by_service_[known.record.service].erase(record.daemon_address);
    by_service_[record.service].insert(record.daemon_address);
  }
  if (known.record.instance_id != record.instance_id) {
    known.load = ServerLoad{};
    known.refused_until = TimePoint(0);
  }
  known.fenced_until = TimePoint(0);
  known.failures = 0;
  known.unreachable_until = TimePoint(0);
  known.record = record;
}

bool InstanceDirectory::usable(const KnownInstance& instance, const std::string& service,
                               const std::set<std::string>& excluded, TimePoint now) const {
  const bool open = instance.record.state == InstanceState::kReady ||
                    instance.record.state == InstanceState::kStopping;
  return open && instance.fenced_until <= now && instance.record.service == service &&
         excluded.count(instance.record.daemon_address) == 0;
}

bool InstanceDirectory::hasInstances(const std::string& service) const {
  const auto found = by_service_.find(service);
  return found != by_service_.end() && !found->second.empty();
}

double InstanceDirectory::utilization(const KnownInstance& instance) const {
  const double told = instance.load.limit;
  const double limit = told > 0 ? told : std::max<double>(instance.record.slots, kAssumedLimit);
  const double busy = instance.load.under_way + instance.load.waiting + instance.sent_since;
  return (std::max<double>(busy, instance.sent) + 1) / limit;
}

KnownInstance* InstanceDirectory::choose(const std::string& service,
                                         const std::set<std::string>& excluded, TimePoint now) {
  const auto found = by_service_.find(service);
  if (found == by_service_.end()) {
    return nullptr;
  }
  KnownInstance* best = nullptr;
  double best_score = 0;
  for (const std::string& daemon : found->second) {
    KnownInstance& instance = by_daemon_.at(daemon);
    if (!usable(instance, service, excluded, now)) {
      continue;
    }
    double score = utilization(instance);
    const bool near = instance.record.zone == options_.zone;
    if (near && score < kOwnZoneUtilization) {
      score -= 1;
    }
    score += instance.refused_until > now ? 10 : 0;
    score += instance.unreachable_until > now ? 100 : 0;
    score += instance.record.state == InstanceState::kStopping ? 50 : 0;
    score += random_.uniform() * 0.02;  // Equals are taken in turn.
    if (best == nullptr || score < best_score) {
      best = &instance;
      best_score = score;
    }
  }
  return best;
}

void InstanceDirectory::onSent(KnownInstance& instance) {
  instance.sent += 1;
  instance.sent_since += 1;
}

void InstanceDirectory::onEnded(KnownInstance& instance) {
  instance.sent -= instance.sent > 0 ? 1 : 0;
}

void InstanceDirectory::onLoad(KnownInstance& instance, const ServerLoad& load, TimePoint now) {
  instance.load = load;
  instance.load_told = now;
  instance.sent_since = 0;
}

void InstanceDirectory::onRefused(KnownInstance& instance, TimePoint now) {
  instance.refused_until = now + kRefusalRemembered;
}

void InstanceDirectory::onUnreachable(KnownInstance& instance, TimePoint now) {
  const std::uint32_t doublings = std::min(instance.failures, kMaximumDoublings);
  instance.failures += 1;
  instance.unreachable_until = now + kFirstUnreachable * (std::int64_t{1} << doublings);
}

void InstanceDirectory::onReached(KnownInstance& instance) {
  instance.failures = 0;
  instance.unreachable_until = TimePoint(0);
}

void InstanceDirectory::onFenced(KnownInstance& instance, TimePoint now) {
  instance.fenced_until = now + kFenceRemembered;
}

}  // namespace ramppond
