// Inputs for the decision to refuse a client's request because of overload at servers that it would
// call; see shed_share() in downstream_overload.h.
//
// Stateless and thread safe.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/admission/downstream_overload.h"
#include "core/retries/call_attribution.h"
#include "core/tenants/tenant_rank.h"
#include "core/time.h"
#include "core/traffic/traffic_configuration.h"

namespace ramppond {

/// Returns how many ranks of client requests are refused before those of `rank`. Routes that only
/// servers call add no ranks: a call is never refused where it begins, since that would waste the
/// work of its caller.
[[nodiscard]] auto less_urgent_ranks(std::uint32_t rank, const std::vector<TrafficRoute>& routes,
                                     const tenant_ranks& ranks, const call_attribution& calls)
    -> std::uint32_t;

/// Returns the overload of the services that requests of `route` need when they run at the local
/// server: the highest level of each service over all routes that the requests call.
[[nodiscard]] auto downstream_overload_of(const std::string& route, const call_attribution& calls,
                                          const downstream_overload& overload, TimePoint now)
    -> std::vector<service_overload>;

}  // namespace ramppond
