// When a refused caller may come back, as told in Retry-After (RFC 9110, 10.2.3).
//
// The time is drawn between a third and two thirds of the request's goal, so that requests that are
// refused together do not come back together. The draw is passed in. Pure.
#pragma once

#include <cstdint>
#include <string>

#include "core/time.h"

namespace ramppond {

/// The least time told is the goal divided by this. With a larger divisor callers meet the same
/// shortage again, with a smaller one their next try cannot end within the goal.
constexpr auto retry_after_divisor = std::int64_t(3);

/// For routes with a short goal: a shortage of room lasts for several round trips.
constexpr auto retry_after_floor = Duration(milliseconds(100));

/// Without a configuration there is no goal: the control group elects a leader in about this time,
/// and before that no proxy has anything new.
constexpr auto retry_after_without_configuration = Duration(milliseconds(400));

/// A uniform draw from [0, 1).
struct retry_after_draw {
  double value = 0;
};

/// The least time told for a request of a route with this goal.
auto min_retry_after_for(Duration goal) -> Duration;

/// Between `least` and twice that.
auto add_retry_after_jitter(Duration least, retry_after_draw draw) -> Duration;

/// Seconds with three decimals, rounded down.
auto format_retry_after(Duration time) -> std::string;

}  // namespace ramppond
