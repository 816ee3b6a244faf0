// Computes the value of Retry-After (RFC 9110, 10.2.3) for a refused request.
//
// The time lies between a third and two thirds of the request's latency goal. It has jitter so that
// requests that are refused together are not retried together. The random draw is passed in.
// Stateless.
#pragma once

#include <cstdint>
#include <string>

#include "core/time.h"

namespace ramppond {

/// The minimum time is the goal divided by this. With a larger divisor callers retry during the
/// same shortage; with a smaller one their retry cannot end within the goal.
constexpr auto retry_after_divisor = std::int64_t(3);

/// Lower limit for routes with a short goal, since a shortage of capacity lasts for several round
/// trips.
constexpr auto retry_after_floor = Duration(milliseconds(100));

/// Minimum time without a configuration, and so without a goal. The control group elects a leader
/// in about this time, and before that no proxy gets a configuration.
constexpr auto retry_after_without_configuration = Duration(milliseconds(400));

/// A uniform draw from [0, 1).
struct retry_after_draw {
  double value = 0;
};

/// Returns the minimum time for a request of a route with this goal.
auto min_retry_after_for(Duration goal) -> Duration;

/// Returns a time between `min_time` and twice `min_time`.
auto add_retry_after_jitter(Duration min_time, retry_after_draw draw) -> Duration;

/// Formats a time as seconds with three decimals, rounded down.
auto format_retry_after(Duration time) -> std::string;

}  // namespace ramppond
