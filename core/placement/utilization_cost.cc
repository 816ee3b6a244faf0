#include "core/placement/utilization_cost.h"

#include <algorithm>

#include "core/placement/reported_load.h"

namespace ramppond {
namespace {

// Costs have no unit. An idle server costs this, a server with all slots in use 1 more. With a
// lower cost, speed and zone hardly count while servers are idle; with a higher one, utilization
// hardly counts.
constexpr double idle_cost = 0.3;
// Cost factor for servers in the own zone, since traffic between zones has a price. With a lower
// factor the own zone fills up while others have free slots; with a higher one more requests leave
// it without need.
constexpr double own_zone_factor = 0.6;
// The same factor for a server that is nearly full, since a request that finds no free slot costs
// far more than its traffic. With a lower factor requests are refused in one zone while another has
// free slots; with 1, equally full zones exchange requests without gain.
constexpr double own_zone_factor_when_full = 0.85;
// The factor rises linearly from the first value to the second between these utilizations.
constexpr double own_zone_factor_rise_begin = 0.5;
constexpr double own_zone_factor_rise_end = 0.9;
// Ordinary ratio of the service times of servers of one service. With a lower ratio, ordinary
// differences move requests out of the zone; with a higher one, a server that has become slow keeps
// its requests.
constexpr double ordinary_speed_ratio = 2.5;
// Added costs of servers that are chosen only if no other is left, in order of preference. Each
// exceeds the previous one, and all of them exceed the cost of any ordinary load.
constexpr double refused_cost = 10;
constexpr double stopping_cost = 50;
constexpr double unreachable_cost = 100;
// Maximum random addition to a cost, which spreads requests over servers of equal cost. A larger
// one hides differences.
constexpr double tie_break = 0.02;

// Returns the cost factor of a server in the own zone at this utilization.
auto zone_factor(double utilization) -> double {
  const double beyond = (utilization - own_zone_factor_rise_begin) /
                        (own_zone_factor_rise_end - own_zone_factor_rise_begin);
  const double risen = std::clamp(beyond, 0.0, 1.0);
  return own_zone_factor + (own_zone_factor_when_full - own_zone_factor) * risen;
}

// Share of the slots or of the named rate in use, whichever is higher. Includes the next request
// and may exceed 1.
auto utilization(const KnownInstance& instance, TimePoint now) -> double {
  const double slots = (requests_at(instance) + 1) / slots_of(instance);
  return std::max(slots, rate_utilization(instance, now));
}

// Service time as a multiple of the fastest server's; 1 if unknown.
auto slowness(const KnownInstance& instance, const std::string& route,
              const std::optional<Duration>& fastest, TimePoint now) -> double {
  const auto service_time = recent_service_time(instance, route, now);
  if (!service_time || !fastest || *fastest <= Duration(0)) {
    return 1;
  }
  return static_cast<double>(service_time->count()) / static_cast<double>(fastest->count());
}

}  // namespace

auto utilization_cost::baseline_of(const std::vector<KnownInstance*>& candidates,
                                   const std::string& route, TimePoint now) -> service_baseline {
  auto baseline = service_baseline();
  for (const auto* instance : candidates) {
    const auto service_time = recent_service_time(*instance, route, now);
    if (service_time) {
      baseline.fastest = std::min(baseline.fastest.value_or(*service_time), *service_time);
    }
  }
  baseline.median_failed_permille = median_failed_permille(candidates, now, this->failed);
  return baseline;
}

auto utilization_cost::cost(const KnownInstance& instance, const std::string& route,
                            const service_baseline& baseline, TimePoint now) -> double {
  const double utilized = utilization(instance, now);
  const double slowness_factor = slowness(instance, route, baseline.fastest, now);
  double cost = idle_cost + std::min(utilized, 1.0);
  cost *= std::max(1.0, slowness_factor / ordinary_speed_ratio);
  cost *= instance.record.zone == this->zone ? zone_factor(utilized) : 1.0;
  cost += std::max(utilized - 1, 0.0) * slowness_factor;
  cost *= failure_factor(instance, baseline.median_failed_permille, now);
  cost += instance.refused_until > now ? refused_cost : 0;
  cost += instance.record.state == InstanceState::kStopping ? stopping_cost : 0;
  cost += is_unreachable(instance, now) ? unreachable_cost : 0;
  return cost + this->random.uniform() * tie_break;
}

auto utilization_cost::choose(const std::vector<KnownInstance*>& candidates,
                              const placement_request& request) -> KnownInstance* {
  const auto baseline = this->baseline_of(candidates, request.route, request.now);
  KnownInstance* best = nullptr;
  double best_cost = 0;
  for (auto* candidate : candidates) {
    const double candidate_cost = this->cost(*candidate, request.route, baseline, request.now);
    if (best == nullptr || candidate_cost < best_cost) {
      best = candidate;
      best_cost = candidate_cost;
    }
  }
  return best;
}

}  // namespace ramppond
