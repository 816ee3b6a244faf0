// How much of a request's time its server needs, and how long a slot is kept for it.
//
// Pure, thread safe.
#pragma once

#include "core/admission/server_admission.h"
#include "core/time.h"

namespace ramppond {

// A server that gets a request with less left answers that its time is over, after it has taken a
// slot for it. With a larger minimum, requests are refused that could still be answered.
constexpr auto min_time_to_dispatch = milliseconds(2);

// The proxy that sent a request gives it up at its deadline, which it counts from its own receipt
// of the request and so a moment before this proxy. With a smaller margin, requests that the server
// was too slow for count as withdrawn, and a server that hangs looks sound; with a larger one,
// those of clients that left count against the server.
constexpr auto deadline_margin = milliseconds(20);

// A confirmation takes a round trip between proxies. With less, a busy peer loses the slot that it
// was promised; with more, a peer that is gone holds a slot that others wait for.
constexpr auto confirmation_time = milliseconds(300);

/// Whether a request with `left` until its deadline is still handed to the server.
[[nodiscard]] constexpr auto has_time_to_dispatch(Duration left) -> bool {
  return left >= min_time_to_dispatch;
}

/// How a run ended that its sender gave up with `left` until the request's deadline.
[[nodiscard]] constexpr auto outcome_of_abandoned(Duration left) -> ServerOutcome {
  return left <= deadline_margin ? ServerOutcome::kNoAnswer : ServerOutcome::kWithdrawn;
}

}  // namespace ramppond
