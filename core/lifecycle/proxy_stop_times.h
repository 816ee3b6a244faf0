// Computes the times of the phases of a proxy's planned stop from the grace period of the platform.
//
// Stateless and thread safe.
#pragma once

#include <cstdint>

#include "core/lifecycle/planned_stop.h"
#include "core/time.h"

namespace ramppond {

// Clients stop sending after two readiness checks, a second apart, have reported that the proxy is
// not ready. With a shorter time they send to closed listeners; with a longer one the stop takes
// longer than necessary.
constexpr auto min_stop_time = milliseconds(2100);

// Until then peers that know no other server may still send requests. With a shorter time services
// whose only server is beside a stopping proxy are unavailable; with a longer one requests that
// begin late do not end before the proxy does.
constexpr auto peers_served_while_stopping = milliseconds(1200);

// Closing begins at the latest after the grace period divided by this, even if requests keep
// arriving. Requests read until then have the other half.
constexpr std::int64_t close_latest_divisor = 2;

// The proxy ends this long before the platform would kill it.
constexpr auto grace_margin = milliseconds(300);

/// Returns the times for a grace period of `grace`: the time from the platform's stop signal until
/// it kills the process.
[[nodiscard]] constexpr auto proxy_stop_times(Duration grace) -> stop_times {
  return {peers_served_while_stopping, min_stop_time, grace / close_latest_divisor,
          grace - grace_margin};
}

}  // namespace ramppond
