// The present duration of work on a server's machine as a multiple of the usual one.
//
// Stateless and thread safe.
#pragma once

#include <algorithm>
#include <cstdint>

#include "core/time.h"

namespace ramppond {

/// 1 is the usual speed, 3 means that work takes three times as long.
struct slowdown_factor {
  double value = 1;
};

/// Bounds of the factor in estimates. A wrong report beyond them would refuse every request that
/// has to wait, or queue requests that cannot be served in time. The proxy beside a server
/// multiplies reported service times by a factor within them and other proxies divide by it, so
/// both need the same bounds.
constexpr double min_slowdown_factor = 0.5;
constexpr double max_slowdown_factor = 10;

/// Returns the factor for a duration in percent of the usual one, clamped to the bounds above.
inline auto clamped_slowdown(std::uint32_t percent) -> slowdown_factor {
  constexpr double percents = 100;
  return {std::clamp(percent / percents, min_slowdown_factor, max_slowdown_factor)};
}

/// Returns how long work takes at this slowdown that takes `usual` at usual speed.
inline auto slowed(Duration usual, slowdown_factor slowdown) -> Duration {
  return Duration(static_cast<std::int64_t>(static_cast<double>(usual.count()) * slowdown.value));
}

}  // namespace ramppond
