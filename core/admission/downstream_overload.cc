#include "core/admission/downstream_overload.h"

#include <algorithm>
#include <cmath>

namespace ramppond {
namespace {

// Each server of a service reports its own level, so a few answers of each are averaged. Shorter,
// the level follows single servers; longer, each hop adds this time to the front's delay.
constexpr auto level_smoothing_time = milliseconds(100);
// A route no longer needs a service that its answers have not reported for this time.
constexpr auto need_remembered = seconds(5);
// Time constant of the decay of a level that is not reported any more, so that a service whose
// answers have stopped is tried again.
constexpr auto unreported_decay_time = milliseconds(1000);
// In ranks. Lower levels are noise of single servers and refuse nothing.
constexpr double min_level = 0.05;
// Of the requests of a rank. Above, a kind of request could be starved; below, less can be kept
// away from a service that has lost most of its servers.
constexpr double max_shed_share = 0.8;
// These bound memory.
constexpr std::size_t max_routes = 1024;
constexpr std::size_t max_services = 1024;
constexpr std::size_t max_services_a_route = 32;

auto decay(Duration age, Duration time) -> double {
  return std::exp(-static_cast<double>(age.count()) / static_cast<double>(time.count()));
}

auto reported_level(const std::vector<service_overload>& reported, const std::string& service)
    -> double {
  for (const auto& entry : reported) {
    if (entry.service == service) {
      return entry.level.value;
    }
  }
  return 0;
}

}  // namespace

void downstream_overload::on_answer(const std::string& route,
                                    const std::vector<service_overload>& reported, TimePoint now) {
  if (this->routes.size() >= max_routes && this->routes.count(route) == 0) {
    this->routes.clear();
  }
  auto& needed = this->routes[route];
  for (const auto& entry : reported) {
    if (needed.size() < max_services_a_route || needed.count(entry.service) > 0) {
      needed[entry.service] = now;
    }
  }
  for (auto it = needed.begin(); it != needed.end();) {
    if (now - it->second > need_remembered) {
      it = needed.erase(it);
      continue;
    }
    this->add_report(it->first, reported_level(reported, it->first), now);
    ++it;
  }
}

void downstream_overload::add_report(const std::string& service, double level, TimePoint now) {
  if (this->levels.size() >= max_services && this->levels.count(service) == 0) {
    this->levels.clear();
  }
  const auto initial = smoothed_level{0, now - Duration(level_smoothing_time)};
  auto& known = this->levels.emplace(service, initial).first->second;
  const double weight = 1 - decay(now - known.reported, level_smoothing_time);
  known.value += weight * (level - known.value);
  known.reported = now;
}

auto downstream_overload::of(const std::string& route, TimePoint now) const
    -> std::vector<service_overload> {
  auto found_levels = std::vector<service_overload>();
  const auto found = this->routes.find(route);
  if (found == this->routes.end()) {
    return found_levels;
  }
  for (const auto& [service, last_report] : found->second) {
    const auto known = this->levels.find(service);
    if (known == this->levels.end()) {
      continue;
    }
    const auto age = now - known->second.reported;
    const double value = known->second.value * decay(age, unreported_decay_time);
    if (value >= min_level) {
      found_levels.push_back({service, {value}});
    }
  }
  return found_levels;
}

auto highest_levels(std::vector<service_overload> left, const std::vector<service_overload>& right)
    -> std::vector<service_overload> {
  for (const auto& entry : right) {
    const auto same = std::find_if(left.begin(), left.end(), [&](const auto& other) {
      return other.service == entry.service;
    });
    if (same == left.end()) {
      left.push_back(entry);
    } else {
      same->level.value = std::max(same->level.value, entry.level.value);
    }
  }
  return left;
}

auto shed_share(shed_level level, std::uint32_t less_urgent) -> double {
  return std::clamp(level.value - less_urgent, 0.0, max_shed_share);
}

}  // namespace ramppond
