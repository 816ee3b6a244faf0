// Checks of a recorded history against the promises. The checkers know only what callers, back
// ends and operators saw; the same ones judge simulated and real runs.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "core/time.h"
#include "lab/history.h"

namespace ramppond {

/// One broken promise.
struct Violation {
  std::string promise;
  std::int64_t time_us = 0;
  std::string nonce;  ///< The front request, if one is concerned.
  std::string reason;
};

using History = std::vector<HistoryEvent>;  ///< In order of time.
using Violations = std::vector<Violation>;

/// A caller gets the complete answer to its own request.
Violations checkResponseOwnership(const History& history);
/// What a caller was told did not run did not run.
Violations checkNotRunTruth(const History& history);
/// A commit-once request runs at most once per key.
Violations checkAtMostOnce(const History& history);
/// Retries, wherever in the call tree, stay within the allowance of each caller attempt. A retry
/// is any attempt but the first of one call by one run of its caller.
Violations checkRetryAllowance(const History& history, std::uint32_t allowance);
/// A leaving server runs nothing new later than `grace` after it was told to leave.
Violations checkDraining(const History& history, Duration grace);
/// In a run without kills, no caller lost the answer to a request in flight.
Violations checkNothingCutOff(const History& history);
/// No machine puts an older version in force after a newer one, and `deadline` after a version was
/// confirmed every machine in `machines` has it or a newer one.
Violations checkConfiguration(const History& history, const std::vector<std::string>& machines,
                              Duration deadline);
/// Of several plans made against one version at most one was confirmed.
Violations checkOneWinner(const History& history);
/// From `from_us` to `to_us`, among work types that compete for the same servers, no kind was
/// refused in a larger share than a kind that is shed before it, beyond `margin`.
Violations checkShedOrder(const History& history, const std::set<std::string>& works,
                          std::int64_t from_us, std::int64_t to_us, double margin);

/// The first events that name `nonce`, for the report of a violation.
std::vector<std::string> describeRequest(const History& history, const std::string& nonce);

}  // namespace ramppond
