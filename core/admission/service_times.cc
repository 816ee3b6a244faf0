#include "core/admission/service_times.h"

#include <algorithm>

namespace ramppond {
namespace {

// The inverse of one request's weight in the smoothed time.
constexpr std::int64_t smoothing = 16;
// More routes to one service than described; others are taken to be ordinary.
constexpr std::size_t most_routes = 256;

}  // namespace

void service_times::on_begun(const std::string& route, TimePoint now) {
  if (this->routes.size() >= most_routes && this->routes.count(route) == 0) {
    return;
  }
  auto& entry = this->routes[route];
  ++entry.under_way;
  entry.begun_sum += now;
}

void service_times::on_ended(const std::string& route, TimePoint begun, bool done, TimePoint now) {
  const auto found = this->routes.find(route);
  if (found == this->routes.end() || found->second.under_way == 0) {
    return;
  }
  auto& entry = found->second;
  --entry.under_way;
  entry.begun_sum -= begun;
  if (!done) {
    return;
  }
  const auto time = now - begun;
  const auto before = entry.smoothed.value_or(time);
  entry.smoothed = before + (time - before) / smoothing;
}

auto service_times::of(const std::string& route, TimePoint now) const -> std::optional<Duration> {
  const auto found = this->routes.find(route);
  if (found == this->routes.end() || !found->second.smoothed) {
    return std::nullopt;
  }
  const auto& entry = found->second;
  if (entry.under_way == 0) {
    return entry.smoothed;
  }
  return std::max(*entry.smoothed, now - entry.begun_sum / entry.under_way);
}

}  // namespace ramppond
