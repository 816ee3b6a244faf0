// When the phases of a proxy's planned stop may begin, by the grace that the platform gives it.
//
// Pure, thread safe.
#pragma once

#include <cstdint>

#include "core/lifecycle/planned_stop.h"
#include "core/time.h"

namespace ramppond {

// Clients stop sending after they were told twice, a second apart, that the proxy is not ready.
// With less, they send to listeners that are closed; with more, the stop takes longer than it must.
constexpr auto min_stop_time = milliseconds(2100);

// Until then peers that know no other server may still send requests. With less, services are down
// whose only server is beside a stopping proxy; with more, what was begun late does not end before
// the proxy does.
constexpr auto peers_served_while_stopping = milliseconds(1200);

// Of the grace. Requests that come all the time do not keep the proxy from closing: what was read
// until then has the other half.
constexpr std::int64_t close_latest_divisor = 2;

// The proxy ends itself this long before the platform would end it.
constexpr auto grace_margin = milliseconds(300);

/// `grace` is the time from the platform's signal to stop until it ends the process.
[[nodiscard]] constexpr auto proxy_stop_times(Duration grace) -> stop_times {
  return {peers_served_while_stopping, min_stop_time, grace / close_latest_divisor,
          grace - grace_margin};
}

}  // namespace ramppond
