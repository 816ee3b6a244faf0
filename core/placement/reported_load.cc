#include "core/placement/reported_load.h"

#include <algorithm>

namespace ramppond {
namespace {

// Cost factor for each unit of failed share above the median of the service: a server that fails a
// quarter of its requests more than others costs three times as much. With a lower weight it keeps
// its share of requests; with a higher one a few chance failures exclude a server.
constexpr double failed_share_weight = 8;
constexpr double thousandths = 1000;
// Minimum number of slots that is assumed before a server's load has been reported.
constexpr double assumed_slots = 8;
// A reported demand counts half after this time. It decays as the inverse of its age, so that the
// more proxies exceed a server's rate, the later they return to it.
constexpr Duration demand_halved_after = seconds(1);
// A higher demand counts as this. With a lower maximum large fleets return too soon; with a higher
// one a server that was overloaded before it named its rate gets no requests long after it accepts
// more again.
constexpr double maximum_demand = 4;

// nullptr if the service time was never reported or too long ago.
auto recent_report(const KnownInstance& instance, const std::string& route, TimePoint now)
    -> const KnownInstance::ReportedTime* {
  const auto found = instance.service_times.find(route);
  const bool recent =
      found != instance.service_times.end() && now - found->second.reported < load_report_valid;
  return recent ? &found->second : nullptr;
}

}  // namespace

auto has_recent_load(const KnownInstance& instance, TimePoint now) -> bool {
  return instance.load.limit > 0 && now - instance.load_reported < load_report_valid;
}

auto recent_service_time(const KnownInstance& instance, const std::string& route, TimePoint now)
    -> std::optional<Duration> {
  const auto* const report = recent_report(instance, route, now);
  return report != nullptr ? std::optional<Duration>(report->time) : std::nullopt;
}

auto recent_usual_service_us(const KnownInstance& instance, const std::string& route, TimePoint now)
    -> std::optional<double> {
  const auto* const report = recent_report(instance, route, now);
  return report != nullptr
             ? std::optional<double>(static_cast<double>(report->time.count()) / report->slowdown)
             : std::nullopt;
}

auto slots_of(const KnownInstance& instance) -> double {
  const double reported = instance.load.limit;
  return reported > 0 ? reported : std::max<double>(instance.record.slots, assumed_slots);
}

auto requests_at(const KnownInstance& instance) -> double {
  const double busy = instance.load.under_way + instance.load.waiting + instance.sent_since_report;
  return std::max<double>(busy, instance.sent);
}

auto rate_utilization(const KnownInstance& instance, TimePoint now) -> double {
  const auto rate = instance.rate();
  if (!rate) {
    return 0;
  }
  const double age = static_cast<double>((now - instance.load_reported).count()) /
                     static_cast<double>(demand_halved_after.count());
  const double sent =
      (instance.sent_since_report + 1) / std::max(rate->limit.per_second, minimum_named_rate);
  return std::min(rate->demand, maximum_demand) / (1 + age) + sent;
}

auto median_failed_permille(const std::vector<KnownInstance*>& candidates, TimePoint now,
                            std::vector<std::uint32_t>& reused) -> std::uint32_t {
  reused.clear();
  for (const auto* instance : candidates) {
    if (has_recent_load(*instance, now)) {
      reused.push_back(instance->load.failed_permille);
    }
  }
  if (reused.empty()) {
    return 0;
  }
  const auto median = reused.begin() + static_cast<std::ptrdiff_t>((reused.size() - 1) / 2);
  std::nth_element(reused.begin(), median, reused.end());
  return *median;
}

auto failure_factor(const KnownInstance& instance, std::uint32_t median_permille, TimePoint now)
    -> double {
  const auto failed = instance.load.failed_permille;
  if (failed <= median_permille || !has_recent_load(instance, now)) {
    return 1;
  }
  return 1 + failed_share_weight * (failed - median_permille) / thousandths;
}

auto is_unreachable(const KnownInstance& instance, TimePoint now) -> bool {
  return instance.unreachable_until > now || instance.liveness.is_silent();
}

}  // namespace ramppond
