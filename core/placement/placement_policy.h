// The placement policies behind one interface: each selects one of the servers that may be chosen.
//
// Input: the candidates of one service, the route of the request, the time (microseconds). Output:
// one candidate. A policy owns what it needs to compare candidates; what is known about a candidate
// is in its KnownInstance. No I/O; not thread safe.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "core/placement/known_instance.h"
#include "core/placement/utilization_cost.h"
#include "core/time.h"

namespace ramppond {

using placement_policy = std::variant<utilization_cost>;

/// Returns the candidate that the policy selects; nullptr if there is none.
inline auto choose(placement_policy& policy, const std::vector<KnownInstance*>& candidates,
                   const std::string& route, TimePoint now) -> KnownInstance* {
  return std::visit([&](auto& selected) { return selected.choose(candidates, route, now); },
                    policy);
}

}  // namespace ramppond
