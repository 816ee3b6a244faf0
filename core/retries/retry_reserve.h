// Computes the share of a service's retry budget that a retry must leave for more valuable retries.
//
// A retry is more valuable the fewer calls its run still has to make: the last call of a run
// completes the run with one more success, while an earlier call needs a success of each remaining
// call too. So the later a call's position in its run, the less its retry must leave. A client's
// request has no previous work that would be lost. Stateless.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "core/retries/retry_budget.h"

namespace ramppond {

/// Share of the allowed retries for each remaining call. With a smaller share the first calls of
/// runs spend what the last calls need; with a larger one a run of a few calls retries only its
/// last call.
constexpr auto reserve_per_call_to_come = budget_reserve{0.25};
/// Maximum share, so that the first call of a long run may still use a part of the budget.
constexpr auto max_reserve = budget_reserve{0.75};
/// The same as for a call with one remaining call.
constexpr auto reserve_of_clients = budget_reserve{0.25};
/// The same as for a call in the middle of a run of a few calls.
constexpr auto reserve_of_unknown_place = budget_reserve{0.5};

/// Returns the share that a retry must leave. `remaining_calls`: number of calls that the run makes
/// after this one, if the run is known.
constexpr auto reserve_of(bool is_call, std::optional<std::uint32_t> remaining_calls)
    -> budget_reserve {
  if (!is_call) {
    return reserve_of_clients;
  }
  if (!remaining_calls) {
    return reserve_of_unknown_place;
  }
  return {std::min(max_reserve.share, reserve_per_call_to_come.share * *remaining_calls)};
}

}  // namespace ramppond
