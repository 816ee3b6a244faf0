// Decides whether a proxy may still rely on the keys that it knows.
//
// Input: when the proxy asked for each answer that a coordinator proved, and the length of the
// lease (times in microseconds; they must go on while the machine is suspended). Output: fresh,
// stale or lapsed. Owns the start of the lease. Relies on the caller reading the time when it
// decides a request, not before the request was read from its connection. Pure, not thread safe.
//
// An answer is proven if a quorum confirmed, after the proxy had asked, that nothing newer was
// acknowledged. So the lease starts when the proxy asked, not when the answer came: every change
// that was acknowledged before the question is known here, and a key whose removal is acknowledged
// later runs nothing that is sent more than the lease's length after the acknowledgement.
#pragma once

#include <optional>

#include "core/time.h"

namespace ramppond {

enum class authority {
  fresh,   // a key that is not known here does not exist
  stale,   // known keys are still valid; others may have been added
  lapsed,  // known keys may have been removed
};

class authority_lease {
 public:
  /// Without a length the lease is always fresh.
  explicit authority_lease(std::optional<Duration> length) : length(length) {}

  /// A coordinator proved the configuration held, in answer to a question sent at
  /// `asked`.
  void on_confirmed(TimePoint asked);

  [[nodiscard]] auto at(TimePoint now) const -> authority;

  /// How often the proxy must ask at least; nothing without a length. The lease
  /// survives the loss of several answers in a row.
  [[nodiscard]] auto renewal_interval() const -> std::optional<Duration>;

 private:
  std::optional<Duration> length;
  std::optional<TimePoint> start;
};

}  // namespace ramppond
