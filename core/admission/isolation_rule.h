// How a request begins at its server by what is known of the crashes that it may have caused:
// beside others, alone among suspected ones, or not at all.
//
// A request that runs alone makes the next crash of the server tell whether it is the cause. Its
// wait for that is bounded by a share of its time. Pure, thread safe.
#pragma once

#include <cstdint>
#include <optional>
#include <variant>

#include "core/admission/inbound_refusal.h"
#include "core/crash_evidence/crash_attribution.h"
#include "core/time.h"

namespace ramppond {

enum class suspicion : std::uint8_t {
  light,  // it was under way at one crash, and is most likely innocent
  heavy,  // at more than one, or it is on trial
};

struct dispatch_shared {};
/// It waits until no other suspected request runs at the server.
struct dispatch_isolated {
  suspicion level;
};
/// Other servers of the service may run it.
struct dispatch_elsewhere {};
/// No server runs it before `blocked_until`.
struct dispatch_blocked {
  TimePoint blocked_until;
};
using beginning =
    std::variant<dispatch_shared, dispatch_isolated, dispatch_elsewhere, dispatch_blocked>;

/// `has_trial` is whether a request on trial would run at this server; for others it is not used.
[[nodiscard]] auto dispatch_mode_of(const suspicion_state& held, bool has_trial) -> beginning;

/// How long a request with `left` until its deadline waits to run alone. One whose end is held back
/// by its sender waits no longer than its `patience`, after which the sender tries another server.
[[nodiscard]] auto isolation_timeout(suspicion level, Duration left,
                                     std::optional<Duration> patience) -> Duration;

/// What follows when it has waited for that in vain: a refusal, or nothing if it begins beside
/// others.
[[nodiscard]] auto refusal_after_isolation_timeout(suspicion level)
    -> std::optional<inbound_refusal>;

}  // namespace ramppond
