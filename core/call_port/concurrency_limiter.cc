#include "core/call_port/concurrency_limiter.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace ramppond {
namespace {

class UnlimitedLimiter : public ConcurrencyLimiter {
 public:
  [[nodiscard]] std::uint32_t limit() const override {
    return std::numeric_limits<std::uint32_t>::max();
  }
  void onSample(const LimiterSample& /*sample*/) override {}
};

class FixedLimiter : public ConcurrencyLimiter {
 public:
  explicit FixedLimiter(std::uint32_t slots) : slots_(slots) {}
  [[nodiscard]] std::uint32_t limit() const override { return slots_; }
  void onSample(const LimiterSample& /*sample*/) override {}

 private:
  std::uint32_t slots_;
};

// AIMD on the one first-hand signal that cannot mislead: calls that the back end itself refuses.
// Latency is left out on purpose: a back end whose slots each run one call gets slower without
// gaining anything from fewer calls (docs/design/0004-admission.md).
class AdaptiveLimiter : public ConcurrencyLimiter {
 public:
  explicit AdaptiveLimiter(std::uint32_t slots) : slots_(slots), limit_(slots) {}
  [[nodiscard]] std::uint32_t limit() const override {
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(limit_));
  }
  void onSample(const LimiterSample& sample) override {
    if (!sample.refused_by_backend) {
      limit_ = std::min<double>(slots_, limit_ + kIncreasePerRound / limit_);
      return;
    }
    // At most one decrease per interval: all calls in flight see the same congestion.
    if (sample.now - last_decrease_ >= kDecreaseInterval) {
      limit_ = std::max(1.0, limit_ * kDecreaseFactor);
      last_decrease_ = sample.now;
    }
  }

 private:
  static constexpr double kIncreasePerRound = 0.25;  // Four rounds of calls win back one slot.
  static constexpr double kDecreaseFactor = 0.85;
  static constexpr Duration kDecreaseInterval = milliseconds(100);

  double slots_;
  double limit_;
  TimePoint last_decrease_{0};
};

// limit <- limit * clamp(minimum latency / latency) + sqrt(limit), smoothed: the gradient of
// Netflix's concurrency-limits and Envoy's adaptive concurrency filter. The minimum drifts up so
// that a lasting change of the back end is learned.
class GradientLimiter : public ConcurrencyLimiter {
 public:
  explicit GradientLimiter(std::uint32_t slots) : slots_(slots), limit_(slots) {}
  [[nodiscard]] std::uint32_t limit() const override {
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(limit_));
  }
  void onSample(const LimiterSample& sample) override {
    const auto latency = static_cast<double>(sample.own_latency.count());
    if (latency <= 0) {
      return;
    }
    latency_ = latency_ <= 0 ? latency : latency_ + kSmoothing * (latency - latency_);
    minimum_ = minimum_ <= 0 ? latency_ : std::min(minimum_ * kMinimumDrift, latency_);
    const double gradient = std::clamp(kTolerance * minimum_ / latency_, 0.5, 1.0);
    const double wanted = limit_ * gradient + std::sqrt(limit_) * kHeadroom;
    limit_ = std::clamp(limit_ + kSmoothing * (wanted - limit_), 1.0, 2.0 * slots_);
  }

 private:
  static constexpr double kSmoothing = 0.05;
  static constexpr double kTolerance = 1.5;  // Latency may exceed the minimum by half.
  static constexpr double kMinimumDrift = 1.0005;
  static constexpr double kHeadroom = 0.5;

  double slots_;
  double limit_;
  double latency_ = 0;
  double minimum_ = 0;
};

}  // namespace

std::unique_ptr<ConcurrencyLimiter> makeConcurrencyLimiter(LimiterKind kind, std::uint32_t slots) {
  slots = std::max<std::uint32_t>(1, slots);
  switch (kind) {
    case LimiterKind::kUnlimited:
      return std::make_unique<UnlimitedLimiter>();
    case LimiterKind::kFixed:
      return std::make_unique<FixedLimiter>(slots);
    case LimiterKind::kAdaptive:
      return std::make_unique<AdaptiveLimiter>(slots);
    case LimiterKind::kGradient:
      return std::make_unique<GradientLimiter>(slots);
  }
  return std::make_unique<FixedLimiter>(slots);
}

}  // namespace ramppond
