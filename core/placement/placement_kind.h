// The policies by which the server of a request is selected; see core/placement/placement_policy.h.
#pragma once

#include <cstdint>

namespace ramppond {

enum class placement_kind : std::uint8_t {
  utilization,          ///< By slots in use, with preference for the own zone.
  expected_completion,  ///< By the time at which a server is expected to complete the request.
};

}  // namespace ramppond
