#include "core/placement/instance_directory.h"

#include <algorithm>
#include <iterator>

namespace ramppond {
namespace {

// Costs have no unit. An idle server costs this, one with all slots in use 1 more. Lower, speed and
// zone hardly count while servers are idle; higher, utilization hardly counts.
constexpr double kIdleCost = 0.3;
// A server of the own zone costs this share of what it would cost elsewhere, since bytes between
// zones have a price. Lower, the own zone fills up while others have room; higher, more requests
// leave it without need.
constexpr double kOwnZoneFactor = 0.6;
// The same once the server is nearly full, since a request that finds no free slot costs far more
// than its bytes. Lower, requests are refused in one zone while another has room; at 1, equally
// full zones exchange requests without gain.
constexpr double kOwnZoneFactorWhenFull = 0.85;
// Utilizations between which the factor moves from the first to the second.
constexpr double kOwnZoneFactorRisesFrom = 0.5;
constexpr double kOwnZoneFactorRisenAt = 0.9;
// Servers of one service differ by this ratio of service times on an ordinary day. Lower, ordinary
// differences drive requests out of the zone; higher, a server that has turned slow keeps its own.
constexpr double kOrdinarySpeedRatio = 2.5;
// A report of a server's load counts for this time. Longer, a server that was slow gets no request
// that could show that it has recovered; shorter, little is known of servers that get few requests.
constexpr Duration kLoadReportValid = seconds(2);
// Costs of servers that are chosen only if no other is left, in this order of preference. They
// exceed each other and all costs of ordinary load.
constexpr double kRefusedCost = 10;
constexpr double kStoppingCost = 50;
constexpr double kUnreachableCost = 100;
// Cost factor for each unit of failed share beyond the median of the service: a server that fails a
// quarter of its requests more than others costs three times as much. Lower, it keeps its share of
// requests; higher, a few chance failures take a server out.
constexpr double kFailedShareWeight = 8;
constexpr double kThousandths = 1000;
// Largest random addition to a cost, so that equals are taken in turn. Larger, it hides
// differences.
constexpr double kTieBreak = 0.02;
// A server that refused a request for lack of room is asked after others for this time. Shorter,
// the next requests are refused too; longer, a server with room is left idle.
constexpr Duration kRefusalRemembered = milliseconds(100);
// A server that takes nothing more is passed over for this time, in case its refusal was older than
// the record that is held. Longer, a late refusal takes a ready server out.
constexpr Duration kFenceRemembered = milliseconds(1000);
// A proxy that could not be connected to is the last choice for this time, doubled with each
// further failure in a row. Shorter, more requests wait for connections that fail; longer, a proxy
// that is back is left idle.
constexpr Duration kFirstUnreachablePause = milliseconds(200);
constexpr std::uint32_t kMaximumPauseDoublings = 4;
// Slots that a server is taken to have at least before its load was reported.
constexpr double kAssumedSlots = 8;
// The demand that a server with a named rate reported counts half after this time. It falls as the
// inverse of its age, so that many proxies beyond the rate come back the later the more they are.
constexpr Duration kDemandHalvedAfter = seconds(1);
// A demand beyond this counts as this. Lower, large fleets come back too soon; higher, a server
// that was flooded before it named its rate gets nothing long after it takes more again.
constexpr double kMostDemand = 4;
// Requests a second that a server which names less is taken to name.
constexpr double kLeastNamedRate = 0.25;
// Bounds memory: routes with a known service time at one server.
constexpr std::size_t kMaximumRoutes = 64;

// The share of its cost that a server of the own zone has at this utilization.
double ownZoneFactor(double utilization) {
  const double beyond =
      (utilization - kOwnZoneFactorRisesFrom) / (kOwnZoneFactorRisenAt - kOwnZoneFactorRisesFrom);
  const double risen = std::clamp(beyond, 0.0, 1.0);
  return kOwnZoneFactor + (kOwnZoneFactorWhenFull - kOwnZoneFactor) * risen;
}

}  // namespace

std::optional<rate_load> KnownInstance::rate() const {
  const bool current = named_rate && named_rate->incarnation == record.server_incarnation;
  return current ? std::optional<rate_load>(named_rate->load) : std::nullopt;
}

InstanceDirectory::InstanceDirectory(InstanceDirectoryOptions options)
    : options_(std::move(options)), random_(options_.random_seed) {}

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

double InstanceDirectory::rateUtilization(const KnownInstance& instance, TimePoint now) {
  const std::optional<rate_load> rate = instance.rate();
  if (!rate) {
    return 0;
  }
  const double age = static_cast<double>((now - instance.load_reported).count()) /
                     static_cast<double>(kDemandHalvedAfter.count());
  const double sent =
      (instance.sent_since_report + 1) / std::max(rate->limit.per_second, kLeastNamedRate);
  return std::min(rate->demand, kMostDemand) / (1 + age) + sent;
}

double InstanceDirectory::utilization(const KnownInstance& instance, TimePoint now) {
  const double reported = instance.load.limit;
  const double limit =
      reported > 0 ? reported : std::max<double>(instance.record.slots, kAssumedSlots);
  const double busy = instance.load.under_way + instance.load.waiting + instance.sent_since_report;
  const double slots = (std::max<double>(busy, instance.sent) + 1) / limit;
  return std::max(slots, rateUtilization(instance, now));
}

bool InstanceDirectory::hasRecentLoad(const KnownInstance& instance, TimePoint now) {
  return instance.load.limit > 0 && now - instance.load_reported < kLoadReportValid;
}

std::optional<Duration> InstanceDirectory::recentServiceTime(const KnownInstance& instance,
                                                             const std::string& route,
                                                             TimePoint now) {
  const auto found = instance.service_times.find(route);
  const bool recent =
      found != instance.service_times.end() && now - found->second.reported < kLoadReportValid;
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
    if (hasRecentLoad(*instance, now)) {
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

double InstanceDirectory::slowness(const KnownInstance& instance, const std::string& route,
                                   const ServiceBaseline& baseline, TimePoint now) {
  const auto service_time = recentServiceTime(instance, route, now);
  if (!service_time || !baseline.fastest || *baseline.fastest <= Duration(0)) {
    return 1;
  }
  return static_cast<double>(service_time->count()) /
         static_cast<double>(baseline.fastest->count());
}

double InstanceDirectory::failureFactor(const KnownInstance& instance,
                                        const ServiceBaseline& baseline, TimePoint now) {
  const std::uint32_t failed = instance.load.failed_permille;
  const std::uint32_t ordinary = baseline.median_failed_permille;
  if (failed <= ordinary || !hasRecentLoad(instance, now)) {
    return 1;
  }
  return 1 + kFailedShareWeight * (failed - ordinary) / kThousandths;
}

double InstanceDirectory::cost(const KnownInstance& instance, const std::string& route,
                               const ServiceBaseline& baseline, TimePoint now) {
  const double utilized = utilization(instance, now);
  const double slower = slowness(instance, route, baseline, now);
  double cost = kIdleCost + std::min(utilized, 1.0);
  cost *= std::max(1.0, slower / kOrdinarySpeedRatio);
  cost *= instance.record.zone == options_.zone ? ownZoneFactor(utilized) : 1.0;
  cost += std::max(utilized - 1, 0.0) * slower;
  cost *= failureFactor(instance, baseline, now);
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
  const bool known = instance.service_times.count(route) > 0;
  if (load.service_time > Duration(0) &&
      (known || instance.service_times.size() < kMaximumRoutes)) {
    instance.service_times[route] = {load.service_time, now};
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
  instance.refused_until = now + kRefusalRemembered;
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
  if (!instance.liveness.is_at_rest()) {
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
    watched = instance.liveness.is_at_rest() ? watched_.erase(watched) : std::next(watched);
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
  instance.fenced_until = now + kFenceRemembered;
}

}  // namespace ramppond
