// A lease on the API keys that a proxy knows: decides whether they may still be relied on.
//
// Input: the time at which the proxy requested each quorum-confirmed answer, and the length of the
// lease. Times are in microseconds, from a clock that keeps running while the machine is suspended.
// Output: fresh, stale or expired. Owns the start of the lease. Relies on the caller to read the
// time when it decides a request, not before it has read the request from its connection. No I/O;
// not thread safe.
//
// An answer is confirmed if, after the proxy had asked, a quorum reported that no newer change was
// acknowledged. The lease therefore starts when the proxy asked, not when the answer arrived: every
// change that was acknowledged before that time is known here. If the removal of a key is
// acknowledged later, no request with that key runs that is sent more than the length of the lease
// after the acknowledgement.
#pragma once

#include <optional>

#include "core/time.h"

namespace ramppond {

enum class authority {
  fresh,    // an unknown key does not exist
  stale,    // known keys are still valid; others may have been added
  expired,  // known keys may have been removed
};

class authority_lease {
 public:
  /// Without a `length` the lease never expires and is always fresh.
  explicit authority_lease(std::optional<Duration> length) : length(length) {}

  /// Renews the lease: a quorum confirmed the current configuration in answer to a request sent at
  /// `asked_at`. An older confirmation than the last one has no effect.
  void on_confirmed(TimePoint asked_at);

  [[nodiscard]] auto at(TimePoint now) const -> authority;

  /// Longest interval at which the proxy must renew the lease, or std::nullopt if the lease has no
  /// length. It is short enough to tolerate the loss of several answers in a row.
  [[nodiscard]] auto renewal_interval() const -> std::optional<Duration>;

 private:
  std::optional<Duration> length;
  std::optional<TimePoint> start;
};

}  // namespace ramppond
