// Load shedding at the edge: decides whether a client's request is refused because of overload at a
// service that it needs.
//
// A call of a server is never refused here, since work was already done for its call tree. The
// least urgent client requests are refused first (shed_share). Stateless.
#pragma once

#include <cstdint>
#include <vector>

#include "core/admission/downstream_overload.h"
#include "core/random.h"
#include "core/retries/call_attribution.h"

namespace ramppond {

/// Returns whether a request is treated as a call of a server. A request with a tenant's key comes
/// from a client, even if its deadline matches that of a call.
constexpr auto is_call_of_server(request_origin origin, bool has_tenant) -> bool {
  return origin != request_origin::client && !has_tenant;
}

/// Returns the first service of `below` whose overload refuses a client's request, or nullptr.
/// `less_urgent`: number of ranks of client requests that are refused before it. There is one
/// random draw for each service, so a request that needs two overloaded services may be refused for
/// either.
auto refusing_overload(const std::vector<service_overload>& below, std::uint32_t less_urgent,
                       Random& random) -> const service_overload*;

/// Returns whether a client's request is refused because its caller exceeds its fair share.
/// `share`: the share of the caller's requests to refuse; see share_shedding. Draws no random
/// number if it is 0.
inline auto refused_beyond_share(double share, Random& random) -> bool {
  return share > 0 && random.uniform() < share;
}

}  // namespace ramppond
