// How long a request waits for a first server of its service to become known.
//
// Right after a restart no server may be known yet. A request that waits shortly is still served
// within its goal, while the parent of a call that is refused has run for nothing. Pure.
#pragma once

#include <cstddef>
#include <cstdint>

#include "core/retries/retry_rule.h"
#include "core/time.h"

namespace ramppond {

/// A request waits for its goal divided by this: the rest of the goal is for its run. With a
/// smaller divisor it is served late, with a larger one it is refused before heartbeats spread.
constexpr auto server_wait_divisor = std::int64_t(4);

/// From one look for a server to the next.
constexpr auto server_wait_interval = Duration(milliseconds(20));

/// A request that has waited for `waited` since it came, after `attempts` attempts. One that tried
/// a server already does not wait: servers are known, and they are full or lost.
constexpr auto may_wait_for_server(std::size_t attempts, Duration waited, Duration goal,
                                   Duration time_left) -> bool {
  return attempts == 0 && waited < goal / server_wait_divisor && time_left > min_time_for_attempt;
}

}  // namespace ramppond
