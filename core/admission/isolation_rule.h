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

struct begins_beside_others {};
/// It waits until no other suspected request runs at the server.
struct begins_alone {
  suspicion level;
};
/// Other servers of the service may run it.
struct begins_elsewhere {};
/// No server runs it before `blocked_until`.
struct begins_nowhere {
  TimePoint blocked_until;
};
using beginning =
    std::variant<begins_beside_others, begins_alone, begins_elsewhere, begins_nowhere>;

/// `has_trial` is whether a request on trial would run at this server; for others it is not used.
[[nodiscard]] auto beginning_of(const suspicion_state& held, bool has_trial) -> beginning;

/// How long a request with `left` until its deadline waits to run alone. One whose end is held back
/// by its sender waits no longer than its `patience`, after which the sender tries another server.
[[nodiscard]] auto isolation_time(suspicion level, Duration left, std::optional<Duration> patience)
    -> Duration;

/// What follows when it has waited for that in vain: a refusal, or nothing if it begins beside
/// others.
[[nodiscard]] auto refusal_when_not_alone(suspicion level) -> std::optional<inbound_refusal>;

}  // namespace ramppond
