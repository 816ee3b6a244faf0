// What a proxy refuses at the fence before its server, whatever room there is.
//
// Pure, thread safe.
#pragma once

#include <cstdint>
#include <optional>

#include "core/admission/inbound_refusal.h"
#include "core/lifecycle/local_server.h"
#include "core/time.h"

namespace ramppond {

/// Nothing if the request may pass. A proxy that `ends_soon` lets nothing new begin.
[[nodiscard]] auto refusal_at_fence(FenceVerdict verdict, bool ends_soon)
    -> std::optional<inbound_refusal>;

// With a larger share, requests reach the server when it takes nothing more; with a smaller one,
// many that were sent before their senders knew of the draining have to be sent to another server.
constexpr std::int64_t draining_admission_divisor = 3;

/// How long a draining server is given requests that are still on their way to it. `drain_timeout`
/// is what it has from its first draining heartbeat until it takes nothing more.
[[nodiscard]] constexpr auto draining_admission_time(Duration drain_timeout) -> Duration {
  return drain_timeout / draining_admission_divisor;
}

}  // namespace ramppond
