// The placement policies behind one interface: each selects one of the servers that may be chosen.
//
// Input: the candidates of one service, the request, the time (microseconds). Output: one
// candidate. A policy owns what it needs to compare candidates; what is known about a candidate is
// in its KnownInstance. No I/O; not thread safe.
#pragma once

#include <variant>
#include <vector>

#include "core/placement/expected_completion.h"
#include "core/placement/known_instance.h"
#include "core/placement/placement_request.h"
#include "core/placement/utilization_cost.h"

namespace ramppond {

using placement_policy = std::variant<utilization_cost, expected_completion>;

/// Returns the candidate that the policy selects; nullptr if there is none.
inline auto choose(placement_policy& policy, const std::vector<KnownInstance*>& candidates,
                   const placement_request& request) -> KnownInstance* {
  return std::visit([&](auto& selected) { return selected.choose(candidates, request); }, policy);
}

/// Returns the servers that must be sent a load query because of the last choose(), at most two,
/// and forgets them.
inline auto take_load_queries(placement_policy& policy) -> std::vector<KnownInstance*> {
  auto* const querying = std::get_if<expected_completion>(&policy);
  return querying == nullptr ? std::vector<KnownInstance*>() : querying->take_load_queries();
}

}  // namespace ramppond
