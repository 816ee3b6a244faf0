// Computes the patience of a request: the maximum time that it waits for a free slot at its server.
//
// Input: the latency goal of the request's route (microseconds, from arrival to answer) and whether
// a server (a call) or a client sent it. Output: the maximum wait, and the reference wait that the
// overload controller counts as full pressure. Stateless and thread safe.
//
// A refusal helps a client only while there is time to try another server, so a client's request is
// refused early. A refused call wastes the work already done for its call tree, so a call may wait
// longer. Both kinds are measured against the client's maximum, since a call that waits that long
// shows the same lack of slots.
#pragma once

#include <cstdint>

#include "core/time.h"

namespace ramppond {

// The goal is divided by these. With smaller divisors (longer waits), the waits of the sequential
// calls in a call tree add up to more than the goal of its root. With larger ones, bursts that
// would drain in time are refused.
constexpr std::int64_t patience_divisor = 5;
constexpr std::int64_t call_patience_divisor = 3;

/// Returns the maximum time that a request of a route with this goal waits.
constexpr auto patience_of(Duration goal, bool is_call) -> Duration {
  return goal / (is_call ? call_patience_divisor : patience_divisor);
}

/// Returns the wait that counts as full pressure at the server for a request with this patience.
constexpr auto reference_wait(Duration patience, bool is_call) -> Duration {
  return is_call ? patience * call_patience_divisor / patience_divisor : patience;
}

}  // namespace ramppond
