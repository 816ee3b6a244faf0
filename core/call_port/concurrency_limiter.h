// How many calls a daemon lets its back end hold at once; one class per policy.
#pragma once

#include <cstdint>
#include <memory>

#include "core/call_port/overload_policy.h"
#include "core/time.h"

namespace ramppond {

/// What one finished call says about the back end.
struct LimiterSample {
  TimePoint now{0};
  /// Time the back end itself spent: total less the time blocked on calls it made in turn.
  Duration own_latency{0};
  bool refused_by_backend = false;  ///< The back end shed the call itself.
};

class ConcurrencyLimiter {
 public:
  virtual ~ConcurrencyLimiter() = default;
  /// Calls that may be in flight now; at least one.
  [[nodiscard]] virtual std::uint32_t limit() const = 0;
  virtual void onSample(const LimiterSample& sample) = 0;
};

/// `slots` is what the operator configured for the back end; at least one.
std::unique_ptr<ConcurrencyLimiter> makeConcurrencyLimiter(LimiterKind kind, std::uint32_t slots);

}  // namespace ramppond
