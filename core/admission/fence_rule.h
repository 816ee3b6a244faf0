// Fencing: which requests a proxy refuses for its server regardless of the server's free capacity.
//
// Stateless and thread safe.
#pragma once

#include <cstdint>
#include <optional>

#include "core/admission/inbound_refusal.h"
#include "core/lifecycle/local_server.h"
#include "core/time.h"

namespace ramppond {

/// Returns the refusal that `verdict` calls for, or std::nullopt if the request is admitted. A
/// proxy that `ends_soon` admits no new requests.
[[nodiscard]] auto refusal_at_fence(FenceVerdict verdict, bool ends_soon)
    -> std::optional<inbound_refusal>;

// The drain timeout is divided by this. A smaller divisor lets requests reach the server when it
// accepts nothing more. A larger one refuses many requests that were sent before their senders
// learned of the draining, so that they have to be sent to another server.
constexpr std::int64_t draining_admission_divisor = 3;

/// Returns how long requests that are still in transit to a draining server are dispatched to it.
/// `drain_timeout` is the time from its first draining heartbeat until it accepts no more requests.
[[nodiscard]] constexpr auto draining_admission_time(Duration drain_timeout) -> Duration {
  return drain_timeout / draining_admission_divisor;
}

}  // namespace ramppond
