#include "core/admission/service_times.h"

#include <algorithm>

namespace ramppond {
namespace {

// Inverse of the weight of one request in the smoothed time.
constexpr std::int64_t smoothing_divisor = 16;
// Bounds memory. Service times of further routes stay unknown.
constexpr std::size_t max_routes = 256;

}  // namespace

void service_time_estimate::on_begun(TimePoint now) {
  ++this->begun_count;
  this->begun_sum += now;
}

void service_time_estimate::on_ended(TimePoint begun, bool done, TimePoint now,
                                     std::optional<Duration> usual_time) {
  if (this->begun_count == 0) {
    return;
  }
  --this->begun_count;
  this->begun_sum -= begun;
  if (!done) {
    return;
  }
  const auto time = usual_time.value_or(now - begun);
  const auto before = this->smoothed_time.value_or(time);
  this->smoothed_time = before + (time - before) / smoothing_divisor;
}

auto service_time_estimate::current(TimePoint now, slowdown_factor slowdown) const
    -> std::optional<Duration> {
  if (!this->smoothed_time) {
    return std::nullopt;
  }
  const auto slowed_time = slowed(*this->smoothed_time, slowdown);
  if (this->begun_count == 0) {
    return slowed_time;
  }
  return std::max(slowed_time, now - this->begun_sum / this->begun_count);
}

void service_times::on_begun(const std::string& route, TimePoint now) {
  if (this->routes.size() >= max_routes && this->routes.count(route) == 0) {
    return;
  }
  this->routes[route].on_begun(now);
}

void service_times::on_ended(const std::string& route, TimePoint begun, bool done, TimePoint now,
                             std::optional<Duration> usual_time) {
  const auto found = this->routes.find(route);
  if (found != this->routes.end()) {
    found->second.on_ended(begun, done, now, usual_time);
  }
}

auto service_times::of(const std::string& route, TimePoint now, slowdown_factor slowdown) const
    -> std::optional<Duration> {
  const auto found = this->routes.find(route);
  return found == this->routes.end() ? std::nullopt : found->second.current(now, slowdown);
}

}  // namespace ramppond
