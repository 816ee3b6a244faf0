// Decides how a request is dispatched by the server crashes that it may have caused: without
// restriction, isolated from other suspected requests, or not at all.
//
// When a suspected request runs without other suspected ones, the next crash of the server shows
// whether it is the cause. The wait for isolation is bounded by a share of the time until the
// deadline. Stateless and thread safe.
#pragma once

#include <cstdint>
#include <optional>
#include <variant>

#include "core/admission/inbound_refusal.h"
#include "core/crash_evidence/crash_attribution.h"
#include "core/time.h"

namespace ramppond {

enum class suspicion : std::uint8_t {
  light,  // in flight at one crash, and most likely innocent
  heavy,  // in flight at more than one crash, or quarantined
};

/// The request is dispatched regardless of what else runs at the server.
struct dispatch_shared {};
/// The request waits until no other suspected request runs at the server.
struct dispatch_isolated {
  suspicion level;
};
/// Only other servers of the service may run the request.
struct dispatch_elsewhere {};
/// No server runs the request before `blocked_until`.
struct dispatch_blocked {
  TimePoint blocked_until;
};
using dispatch_mode =
    std::variant<dispatch_shared, dispatch_isolated, dispatch_elsewhere, dispatch_blocked>;

/// Returns how a request with this suspicion state is dispatched. `quarantined_here` tells whether
/// this server is the one that may run a quarantined request; it is ignored for other requests.
[[nodiscard]] auto dispatch_mode_of(const suspicion_state& state, bool quarantined_here)
    -> dispatch_mode;

/// Returns how long a request with `left` until its deadline waits for isolation. A request whose
/// end is held back by its sender waits no longer than its `patience`, since the sender tries
/// another server after that.
[[nodiscard]] auto isolation_timeout(suspicion level, Duration left,
                                     std::optional<Duration> patience) -> Duration;

/// Returns the refusal for a request that could not be isolated within its timeout, or std::nullopt
/// if it is dispatched without isolation.
[[nodiscard]] auto refusal_after_isolation_timeout(suspicion level)
    -> std::optional<inbound_refusal>;

}  // namespace ramppond
