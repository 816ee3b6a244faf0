// Load shedding at the edge for clients with a return time.
//
// Decides by how a request arrives (core/answers/return_schedule.h). A client that returns at its
// time is refused only once all new requests of its rank are. One that returns early is refused
// while any new request of its rank may be, so that it gains nothing. Stateless and
// thread safe, apart from the generator that the caller passes.
#pragma once

#include <cstdint>
#include <vector>

#include "core/answers/front_shedding.h"
#include "core/answers/return_schedule.h"

namespace ramppond {

/// Returns the first service of `below` whose overload refuses the request, or nullptr.
/// `less_urgent`: see refusing_overload().
auto refusing_overload_of(return_arrival arrival, const std::vector<service_overload>& below,
                          std::uint32_t less_urgent, Random& random) -> const service_overload*;

}  // namespace ramppond
