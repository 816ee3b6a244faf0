#include "core/placement/expected_completion.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

#include "core/placement/reported_load.h"

namespace ramppond {
namespace {

// Weight of the wait for a slot against the service time. A request that waits also delays those
// behind it. With a lower weight, fast servers are given queues until they are as slow as the
// slowest ones.
constexpr double wait_weight = 8;
// A load report counts less the older it is, and after this time not at all: queues change within a
// few service times.
constexpr double report_lifetime_us = 500e3;
// For the mean of many servers, which changes more slowly than the load of one.
constexpr auto mean_lifetime_us = static_cast<double>(load_report_valid.count());
// For a reported slowdown, which changes many times a second.
constexpr double slowdown_lifetime_us = 500e3;
// A report is fresh below this age and this number of own requests since. Older ones miss slowdowns
// that have begun or ended; without a limit of requests, all of them follow one report.
constexpr double fresh_us = 100e3;
constexpr std::uint32_t fresh_requests = 3;
// With this many fresh reports no load query is sent: more of them hardly improve the choice.
constexpr std::size_t enough_fresh = 4;
// For each request, so that there are at most twice as many load queries as requests.
constexpr std::size_t max_queries = 2;
// Below this utilization a service is lightly used: nearly every server has a free slot.
constexpr double light_utilization = 0.6;
constexpr double zone_round_trip_us = 2e3;  // assumed, between zones
// Advantage that another zone must have beyond the round trip, as a multiple of the service time.
// With a lower margin, more requests leave the zone without need. As the wait counts wait_weight
// times, a wait that is longer by 1/wait_weight of the service time suffices to leave it.
constexpr double zone_margin = 1;
// No second load query is sent to a server within this time; the first is answered or lost by then.
constexpr Duration query_interval = milliseconds(100);
constexpr double us_per_second = 1e6;
// Reported service times are clamped to these bounds: the exchange between proxies takes about a
// millisecond, and deadlines are a few seconds.
constexpr double min_service_us = 1e3;
constexpr double max_service_us = 10e6;
// No server counts as faster than the mean by more than this factor, so that one wrong service time
// does not attract all requests. The speeds of the servers of one service are within 0.5 to 1.5.
constexpr double max_speed = 3;

auto age_us(const KnownInstance& instance, TimePoint now) -> double {
  return static_cast<double>((now - instance.load_reported).count());
}

// Weight of a report of this age; falls linearly from 1 to 0 within the lifetime.
auto age_weight(double age, double lifetime) -> double {
  return std::clamp(1 - age / lifetime, 0.0, 1.0);
}

// In order of preference: a server is selected only if none of an earlier value is left.
enum class availability : std::uint8_t { ready, refusing, stopping, unreachable };

auto availability_of(const KnownInstance& instance, TimePoint now) -> availability {
  if (is_unreachable(instance, now)) {
    return availability::unreachable;
  }
  if (instance.record.state == InstanceState::kStopping) {
    return availability::stopping;
  }
  const bool refuses = instance.refused_until > now || rate_utilization(instance, now) > 1;
  return refuses ? availability::refusing : availability::ready;
}

/// Mean of service times on which a single very large or small value has little effect. Multiplies
/// the values and takes a logarithm only before the product could overflow.
class geometric_mean {
 public:
  void add(double time) {
    constexpr double product_limit = 1e200;  // leaves room for a factor of max_service_us
    this->product *= time;
    this->count += 1;
    if (this->product > product_limit) {
      this->logarithms += std::log(std::exchange(this->product, 1));
    }
  }
  [[nodiscard]] auto value() const -> std::optional<double> {
    if (this->count == 0) {
      return std::nullopt;
    }
    return std::exp((this->logarithms + std::log(this->product)) / this->count);
  }

 private:
  double product = 1;
  double logarithms = 0;
  double count = 0;
};

/// Weighted mean of times on which a single very large value has little effect.
class harmonic_mean {
 public:
  void add(double time, double weight) {
    this->inverses += weight / time;
    this->weights += weight;
  }
  [[nodiscard]] auto value() const -> std::optional<double> {
    return this->weights > 0 ? std::optional<double>(this->weights / this->inverses) : std::nullopt;
  }

 private:
  double inverses = 0;
  double weights = 0;
};

// The record bounds the report, so that one wrong value does not attract all requests.
auto bounded_slots(const KnownInstance& instance) -> double {
  const double recorded = instance.record.slots;
  return recorded > 0 ? std::min(slots_of(instance), recorded) : slots_of(instance);
}

// A server that names a rate cannot complete more than that.
auto requests_per_us(const KnownInstance& instance, double by_slots) -> double {
  const auto rate = instance.rate();
  return rate ? std::min(by_slots,
                         std::max(rate->limit.per_second, minimum_named_rate) / us_per_second)
              : by_slots;
}

}  // namespace

expected_completion::expected_completion(const expected_completion_options& options)
    : zone(options.zone),
      queries_load(options.load_queries),
      random(options.random_seed),
      without_reports(options.zone, options.random_seed) {}

auto expected_completion::collect(const std::vector<KnownInstance*>& candidates,
                                  const placement_request& request)
    -> std::optional<ordinary_server> {
  auto best = std::optional<availability>();
  auto service = geometric_mean();
  for (auto* candidate : candidates) {
    const auto found = availability_of(*candidate, request.now);
    if (found > best.value_or(found)) {
      continue;
    }
    if (found != best) {
      best = found;
      this->own_zone.servers.clear();
      this->other_zones.servers.clear();
      service = geometric_mean();
    }
    auto server = estimate();
    server.instance = candidate;
    if (const auto time = recent_usual_service_us(*candidate, request.route, request.now)) {
      server.service = std::clamp(*time, min_service_us, max_service_us);
      service.add(server.service);
    }
    auto& group = candidate->record.zone == this->zone ? this->own_zone : this->other_zones;
    group.servers.push_back(server);
  }
  const auto mean = service.value();
  if (!mean) {
    return std::nullopt;
  }
  return ordinary_server{*mean, median_failed_permille(candidates, request.now, this->failed)};
}

void expected_completion::estimate_alone(estimate& server, const ordinary_server& ordinary,
                                         TimePoint now) {
  const auto& instance = *server.instance;
  const auto age = age_us(instance, now);
  const auto slots = bounded_slots(instance);
  const auto failures = failure_factor(instance, ordinary.failed_permille, now);
  server.service = server.service > 0 ? std::max(server.service, ordinary.service / max_speed)
                                      : ordinary.service;
  server.service *= 1 + (instance.slowdown.value_or(1) - 1) * age_weight(age, slowdown_lifetime_us);
  const auto wait = server.service / slots * std::max(requests_at(instance) + 1 - slots, 0.0);
  server.time = (server.service + wait_weight * wait) * failures;
  server.weight = requests_per_us(instance, slots / server.service) / failures;
  server.fresh =
      instance.load.limit > 0 && age < fresh_us && instance.sent_since_report < fresh_requests;
}

// The time of each server approaches the mean as its report becomes older, since a server that was
// busy or idle then is likely to have an ordinary load by now.
void expected_completion::estimate_times(server_group& group, const ordinary_server& ordinary,
                                         TimePoint now) {
  group.weight = 0;
  group.requests = 0;
  group.slots = 0;
  group.fresh = 0;
  auto times = harmonic_mean();
  for (auto& server : group.servers) {
    estimate_alone(server, ordinary, now);
    const auto& instance = *server.instance;
    const auto age = age_us(instance, now);
    times.add(server.time, instance.load.limit > 0 ? age_weight(age, mean_lifetime_us) : 0);
    group.weight += server.weight;
    group.requests += requests_at(instance);
    group.slots += bounded_slots(instance);
    group.fresh += server.fresh ? 1 : 0;
  }
  const auto mean = times.value().value_or(ordinary.service);
  for (auto& server : group.servers) {
    const auto age = age_us(*server.instance, now);
    const auto known = server.instance->load.limit > 0 ? age_weight(age, report_lifetime_us) : 0;
    server.time = mean + known * (server.time - mean);
  }
}

auto expected_completion::draw(const server_group& group) -> const estimate* {
  double left = this->random.uniform() * group.weight;
  for (const auto& server : group.servers) {
    left -= server.weight;
    if (left < 0) {
      return &server;
    }
  }
  return group.servers.empty() ? nullptr : &group.servers.back();
}

auto expected_completion::best_of(const server_group& group) -> const estimate* {
  const auto* best = this->draw(group);
  for (const auto& server : group.servers) {
    best = server.fresh && server.time < best->time ? &server : best;
  }
  return best;
}

auto expected_completion::choose(const std::vector<KnownInstance*>& candidates,
                                 const placement_request& request) -> KnownInstance* {
  this->queries.clear();
  const auto ordinary = this->collect(candidates, request);
  if (!ordinary) {
    return this->without_reports.choose(candidates, request);
  }
  this->estimate_times(this->own_zone, *ordinary, request.now);
  this->estimate_times(this->other_zones, *ordinary, request.now);
  const auto* const nearby = this->best_of(this->own_zone);
  const auto* const elsewhere = this->best_of(this->other_zones);
  const auto margin = zone_round_trip_us + zone_margin * ordinary->service;
  const auto leaves_zone =
      nearby == nullptr || (elsewhere != nullptr && elsewhere->time + margin < nearby->time);
  if (request.first_attempt) {
    const bool zone_is_busy = nearby != nullptr && nearby->time > nearby->service + margin;
    this->plan_load_queries(zone_is_busy, request.now);
  }
  return leaves_zone ? elsewhere->instance : nearby->instance;
}

void expected_completion::plan_load_queries(bool zone_is_busy, TimePoint now) {
  const auto& preferred = this->own_zone.servers.empty() ? this->other_zones : this->own_zone;
  const auto fresh = this->own_zone.fresh + this->other_zones.fresh;
  const bool lightly_used = preferred.requests < light_utilization * preferred.slots;
  if (!this->queries_load || lightly_used || fresh >= enough_fresh) {
    return;
  }
  const auto wanted = std::min(max_queries, enough_fresh - fresh);
  for (std::size_t number = 0; number < wanted; ++number) {
    const auto* const drawn =
        this->draw(number > 0 && zone_is_busy ? this->other_zones : preferred);
    if (drawn != nullptr && now - drawn->instance->load_queried >= query_interval) {
      drawn->instance->load_queried = now;
      this->queries.push_back(drawn->instance);
    }
  }
}

auto expected_completion::take_load_queries() -> std::vector<KnownInstance*> {
  return std::exchange(this->queries, {});
}

}  // namespace ramppond
