#include "core/admission/overload_below.h"

#include <algorithm>
#include <cmath>

namespace ramppond {
namespace {

// The servers of a service tell levels of their own; a few answers of each are
// averaged. Each hop adds this time to what the front knows.
constexpr auto smoothing = milliseconds(100);
// A route that is told nothing of a service for so long needs it no more.
constexpr auto need_remembered = seconds(5);
// A level that is not told any more falls off.
constexpr auto remembered = milliseconds(1000);
// Below this it is the noise of single servers.
constexpr double least_level = 0.05;
// Some of each rank is served always: refused requests come back once, and a
// kind of request must not be starved.
constexpr double most_share = 0.8;
constexpr std::size_t most_routes = 1024;
constexpr std::size_t most_services = 32;

auto decay(Duration age, Duration time) -> double {
  return std::exp(-static_cast<double>(age.count()) / static_cast<double>(time.count()));
}

auto told_level(const std::vector<service_overload>& told, const std::string& service) -> double {
  for (const auto& entry : told) {
    if (entry.service == service) {
      return entry.level.value;
    }
  }
  return 0;
}

}  // namespace

void overload_below::on_answer(const std::string& route, const std::vector<service_overload>& told,
                               TimePoint now) {
  if (this->routes.size() >= most_routes && this->routes.count(route) == 0) {
    this->routes.clear();
  }
  auto& needed = this->routes[route];
  for (const auto& entry : told) {
    if (needed.size() < most_services || needed.count(entry.service) > 0) {
      needed[entry.service] = now;
    }
  }
  for (auto it = needed.begin(); it != needed.end();) {
    if (now - it->second > need_remembered) {
      it = needed.erase(it);
      continue;
    }
    this->note(it->first, told_level(told, it->first), now);
    ++it;
  }
}

void overload_below::note(const std::string& service, double told, TimePoint now) {
  if (this->levels.size() >= most_routes && this->levels.count(service) == 0) {
    this->levels.clear();
  }
  auto& known = this->levels.emplace(service, smoothed{0, now - Duration(smoothing)}).first->second;
  const double weight = 1 - decay(now - known.told, smoothing);
  known.value += weight * (told - known.value);
  known.told = now;
}

auto overload_below::of(const std::string& route, TimePoint now) const
    -> std::vector<service_overload> {
  auto found_levels = std::vector<service_overload>();
  const auto found = this->routes.find(route);
  if (found == this->routes.end()) {
    return found_levels;
  }
  for (const auto& [service, told] : found->second) {
    const auto known = this->levels.find(service);
    if (known == this->levels.end()) {
      continue;
    }
    const double value = known->second.value * decay(now - known->second.told, remembered);
    if (value >= least_level) {
      found_levels.push_back({service, {value}});
    }
  }
  return found_levels;
}

auto strictest(std::vector<service_overload> left, const std::vector<service_overload>& right)
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
  return std::clamp(level.value - less_urgent, 0.0, most_share);
}

}  // namespace ramppond
