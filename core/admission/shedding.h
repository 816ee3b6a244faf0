// What a proxy knows of the requests around one when it decides whether to refuse it where it
// begins, for overload at servers further down; see shed_share() in downstream_overload.h.
//
// Pure, thread safe.
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

/// How many ranks of clients' requests are refused before those of `rank`. Routes that only servers
/// call have none: a call is never refused where it begins, since that wastes what its caller has
/// done.
[[nodiscard]] auto less_urgent_ranks(std::uint32_t rank, const std::vector<TrafficRoute>& routes,
                                     const tenant_ranks& ranks, const call_attribution& calls)
    -> std::uint32_t;

/// Overload at the services that requests of `route` need when they run at the own server: the
/// highest level of each, over all routes that they call.
[[nodiscard]] auto downstream_overload_of(const std::string& route, const call_attribution& calls,
                                          const downstream_overload& overload, TimePoint now)
    -> std::vector<service_overload>;

}  // namespace ramppond
