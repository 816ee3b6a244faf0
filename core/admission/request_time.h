// Time limits of a request at its server: the minimum time for a dispatch, the tolerance at its
// deadline and the time for which a slot is reserved for it.
//
// Stateless and thread safe.
#pragma once

#include "core/admission/server_admission.h"
#include "core/time.h"

namespace ramppond {

// A request with less time left would occupy a slot only for the server to answer that its deadline
// has passed. With a larger minimum, requests that could still be answered are refused.
constexpr auto min_time_to_dispatch = milliseconds(2);

// The proxy that sent a request abandons it at its deadline, which it counts from its own receipt
// of the request and so slightly earlier than this proxy. With a smaller margin, requests that were
// too slow count as withdrawn and a hung server looks healthy. With a larger one, requests that
// clients abandoned count against the server.
constexpr auto deadline_margin = milliseconds(20);

// A confirmation takes a round trip between proxies. With less time a busy peer loses the slot that
// it was promised; with more, a peer that is gone holds a slot that others wait for.
constexpr auto confirmation_time = milliseconds(300);

/// Returns whether a request with `left` until its deadline is still dispatched to the server.
[[nodiscard]] constexpr auto has_time_to_dispatch(Duration left) -> bool {
  return left >= min_time_to_dispatch;
}

/// Returns the outcome of a run that its sender abandoned with `left` until the deadline.
[[nodiscard]] constexpr auto outcome_of_abandoned(Duration left) -> ServerOutcome {
  return left <= deadline_margin ? ServerOutcome::kNoAnswer : ServerOutcome::kWithdrawn;
}

}  // namespace ramppond
