#include "core/placement/instance_directory.h"

#include <algorithm>
#include <iterator>

namespace ramppond {
namespace {

// What an idle server costs against a full one: the weight of speed and zone at low load.
constexpr double kIdleCost = 0.3;
// A server of the own zone costs this part of what it would cost elsewhere, since bytes between
// zones have a price. A request that finds no room costs far more: between these utilizations the
// rebate shrinks to its rest. What is left makes up for a wait that is a fifth of a service time
// longer; beyond that a request goes to another zone.
constexpr double kOwnZoneRebate = 0.6;
constexpr double kOwnZoneRebateWhenFull = 0.85;
constexpr double kRebateShrinksFrom = 0.5;
constexpr double kRebateShrunkAt = 0.9;
// Servers of one service differ by this much in speed on an ordinary day; what is slower than that
// is slow for a reason.
constexpr double kOrdinarySpeedRatio = 2.5;
constexpr Duration kLoadRemembered = seconds(2);
// These set an order among servers that are all unfit in some way.
constexpr double kRefusedCost = 10;
constexpr double kStoppingCost = 50;
constexpr double kUnreachableCost = 100;
// A server that fails a quarter of its requests costs as much as one that is twice as full: most of
// its requests go elsewhere while others have room. Only what it fails beyond the median of its
// service counts: calls that all of them make may fail too.
constexpr double kFailedWeight = 8;
constexpr double kThousand = 1000;
// Equals are taken in turn.
constexpr double kTieBreak = 0.02;
constexpr Duration kRefusalRemembered = milliseconds(100);
constexpr Duration kFenceRemembered = milliseconds(1000);
constexpr Duration kFirstUnreachable = milliseconds(200);
constexpr std::uint32_t kMaximumDoublings = 4;
// Without word from its daemon a server is taken to have this many slots usable.
constexpr double kAssumedLimit = 8;
// Of one service that one daemon sends requests on.
constexpr std::size_t kMostRoutes = 64;

// What part of its cost a server of the own zone costs.
double ownZoneRebate(double utilization) {
  const double beyond = (utilization - kRebateShrinksFrom) / (kRebateShrunkAt - kRebateShrinksFrom);
  const double shrunk = std::clamp(beyond, 0.0, 1.0);
  return kOwnZoneRebate + (kOwnZoneRebateWhenFull - kOwnZoneRebate) * shrunk;
}

}  // namespace

InstanceDirectory::InstanceDirectory(InstanceDirectoryOptions options)
    : options_(std::move(options)), random_(options_.random_seed) {}

bool InstanceDirectory::offer(const InstanceRecord& record) {
  KnownInstance& known = by_daemon_[record.daemon_address];
  const bool first = known.record.daemon_address.empty();
  if (!first && !record.isNewerThan(known.record)) {
    return false;
  }
  const bool started_anew = !first && known.record.incarnation != record.incarnation;
  if (known.record.service != record.service) {
    auto& former = by_service_[known.record.service];
    former.erase(std::remove(former.begin(), former.end(), &known), former.end());
    by_service_[record.service].push_back(&known);
  }
  if (known.record.instance_id != record.instance_id) {
    known.load = ServerLoad{};
    known.service_times.clear();
    known.refused_until = TimePoint(0);
  }
  if (started_anew) {
    known.liveness = peer_liveness();
  }
  known.fenced_until = TimePoint(0);
  known.failures = 0;
  known.unreachable_until = TimePoint(0);
  known.record = record;
  return started_anew;
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

std::vector<std::string> InstanceDirectory::daemonsOf(const std::string& service) const {
  std::vector<std::string> daemons;
  const auto found = by_service_.find(service);
  if (found == by_service_.end()) {
    return daemons;
  }
  for (const KnownInstance* instance : found->second) {
    if (instance->record.state == InstanceState::kReady) {
      daemons.push_back(instance->record.daemon_address);
    }
  }
  return daemons;
}

double InstanceDirectory::utilization(const KnownInstance& instance) {
  const double told = instance.load.limit;
  const double limit = told > 0 ? told : std::max<double>(instance.record.slots, kAssumedLimit);
  const double busy = instance.load.under_way + instance.load.waiting + instance.sent_since;
  return (std::max<double>(busy, instance.sent) + 1) / limit;
}

bool InstanceDirectory::toldRecently(const KnownInstance& instance, TimePoint now) {
  return instance.load.limit > 0 && now - instance.load_told < kLoadRemembered;
}

// Nothing once it is old: a server that was slow gets a request again and tells how it does now.
std::optional<Duration> InstanceDirectory::recentServiceTime(const KnownInstance& instance,
                                                             const std::string& route,
                                                             TimePoint now) {
  const auto found = instance.service_times.find(route);
  const bool recent =
      found != instance.service_times.end() && now - found->second.told < kLoadRemembered;
  return recent ? std::optional<Duration>(found->second.time) : std::nullopt;
}

InstanceDirectory::ServiceBaseline InstanceDirectory::baselineOfCandidates(const std::string& route,
                                                                           TimePoint now) {
  ServiceBaseline baseline;
  failed_.clear();
  for (const KnownInstance* instance : candidates_) {
    const auto service_time = recentServiceTime(*instance, route, now);
    if (service_time) {
      baseline.fastest = std::min(baseline.fastest.value_or(*service_time), *service_time);
    }
    if (toldRecently(*instance, now)) {
      failed_.push_back(instance->load.failed_permille);
    }
  }
  if (!failed_.empty()) {
    const auto median = failed_.begin() + static_cast<std::ptrdiff_t>((failed_.size() - 1) / 2);
    std::nth_element(failed_.begin(), median, failed_.end());
    baseline.median_failed_permille = *median;
  }
  return baseline;
}

double InstanceDirectory::cost(const KnownInstance& instance, const std::string& route,
                               const ServiceBaseline& baseline, TimePoint now) {
  const auto service_time = recentServiceTime(instance, route, now);
  const double utilized = utilization(instance);
  double slowness = 1;
  if (service_time && baseline.fastest && *baseline.fastest > Duration(0)) {
    slowness =
        static_cast<double>(service_time->count()) / static_cast<double>(baseline.fastest->count());
  }
  double cost = kIdleCost + std::min(utilized, 1.0);
  cost *= std::max(1.0, slowness / kOrdinarySpeedRatio);
  cost *= instance.record.zone == options_.zone ? ownZoneRebate(utilized) : 1.0;
  cost += std::max(utilized - 1, 0.0) * slowness;
  const bool fails_more = instance.load.failed_permille > baseline.median_failed_permille;
  if (fails_more && toldRecently(instance, now)) {
    const std::uint32_t excess = instance.load.failed_permille - baseline.median_failed_permille;
    cost *= 1 + kFailedWeight * excess / kThousand;
  }
  cost += instance.refused_until > now ? kRefusedCost : 0;
  cost += instance.record.state == InstanceState::kStopping ? kStoppingCost : 0;
  const bool unreachable = instance.unreachable_until > now || instance.liveness.is_silent();
  cost += unreachable ? kUnreachableCost : 0;
  return cost + random_.uniform() * kTieBreak;
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
  const ServiceBaseline baseline = baselineOfCandidates(route, now);
  KnownInstance* best = nullptr;
  double best_cost = 0;
  for (KnownInstance* candidate : candidates_) {
    const double candidate_cost = cost(*candidate, route, baseline, now);
    if (best == nullptr || candidate_cost < best_cost) {
      best = candidate;
      best_cost = candidate_cost;
    }
  }
  return best;
}

void InstanceDirectory::onSent(KnownInstance& instance, TimePoint now) {
  instance.sent += 1;
  instance.sent_since += 1;
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
  const bool known = instance.service_times.count(route) > 0;
  if (load.service_time > Duration(0) && (known || instance.service_times.size() < kMostRoutes)) {
    instance.service_times[route] = {load.service_time, now};
  }
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
  if (!instance.liveness.is_at_rest()) {
    watched_[instance.record.daemon_address] = &instance;
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
    watched = instance.liveness.is_at_rest() ? watched_.erase(watched) : std::next(watched);
  }
  return changes;
}

void InstanceDirectory::onFenced(KnownInstance& instance, TimePoint now) {
  instance.fenced_until = now + kFenceRemembered;
}

}  // namespace ramppond
