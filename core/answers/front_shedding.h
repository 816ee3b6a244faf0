// Which client's requests are refused where they begin, for overload at a service that they need.
//
// A call of a server is never refused here: its tree of calls has cost something already. Of
// clients' requests the least urgent are refused first (shed_share). Pure.
#pragma once

#include <cstdint>
#include <vector>

#include "core/admission/downstream_overload.h"
#include "core/random.h"
#include "core/retries/call_attribution.h"

namespace ramppond {

/// Whether a request is treated as a call. What carries a tenant's key is a client's, even if its
/// deadline could be that of a call.
constexpr auto is_call_of_server(request_origin origin, bool has_tenant) -> bool {
  return origin != request_origin::client && !has_tenant;
}

/// The first of `below` whose overload refuses a client's request, or nullptr. `less_urgent`: ranks
/// of clients' requests that are refused before it. Each service is drawn for on its own, so a
/// request that needs two overloaded services is refused for either.
auto refusing_overload(const std::vector<service_overload>& below, std::uint32_t less_urgent,
                       Random& random) -> const service_overload*;

}  // namespace ramppond
