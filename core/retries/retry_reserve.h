// What a retry must leave in the retry budget of its service for retries that are worth more.
//
// A retry is worth what it completes. The last call of a run completes that run with one more
// success; an earlier call needs as many successes as there are calls to come. So the later a
// call's place in its run, the less its retry must leave. A client's request has no work behind it
// that would be lost. Pure.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "core/retries/retry_budget.h"

namespace ramppond {

/// Shares of what the budget allows. With less a call, first calls of runs spend what the last ones
/// need; with more, a run of a few calls retries only its last.
constexpr auto reserve_per_call_to_come = budget_reserve{0.25};
/// The first call of a long run still has a part of the budget.
constexpr auto max_reserve = budget_reserve{0.75};
/// As for a call with one call to come.
constexpr auto reserve_of_clients = budget_reserve{0.25};
/// As for a call in the middle of a run of a few calls.
constexpr auto reserve_of_unknown_place = budget_reserve{0.5};

/// `remaining_calls`: calls that the run of a call still makes after it, if that run is known.
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
