// Computes how long a request waits until a server of its service is known.
//
// Directly after a restart no server may be known. A request that waits for a short time is still
// served within its latency goal, while refusing a call wastes the work of its caller. Stateless.
#pragma once

#include <cstddef>
#include <cstdint>

#include "core/retries/retry_rule.h"
#include "core/time.h"

namespace ramppond {

/// A request waits for at most its goal divided by this; the rest of the goal is left for its run.
/// With a smaller divisor it is served late; with a larger one it is refused before heartbeats have
/// spread.
constexpr auto server_wait_divisor = std::int64_t(4);

/// Time between two lookups of a server.
constexpr auto server_wait_interval = Duration(milliseconds(20));

/// Returns whether a request that arrived `waited` ago may wait on after `attempts` attempts. A
/// request that has tried a server does not wait: servers are known, but full or lost.
constexpr auto may_wait_for_server(std::size_t attempts, Duration waited, Duration goal,
                                   Duration time_left) -> bool {
  return attempts == 0 && waited < goal / server_wait_divisor && time_left > min_time_for_attempt;
}

}  // namespace ramppond
