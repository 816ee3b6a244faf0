#include "core/admission/overload_controller.h"

#include <algorithm>
#include <cmath>

namespace ramppond {
namespace {

// Pressure: all slots in use and a queue of 0.4 pressing waits. With a lower target slots are idle
// at times; with a higher one more trees lose a call.
constexpr double target_pressure = 1.4;
// Shorter, single offers move the level; longer, a step of load is met late.
constexpr auto pressure_smoothing_time = milliseconds(100);
// Ranks for each unit of pressure beyond the target. Lower, the level swings; higher, a front that
// learns of the level late keeps urgent trees away too.
constexpr double proportional_gain = 0.8;
// Ranks a second for each unit of pressure beyond the target. Higher, the level swings; lower, a
// lasting overload is met late.
constexpr double integral_gain = 0.3;
// Waits beyond this many pressing waits count as this many. Lower, a load that doubles at once
// looks like a small overload and the level rises too late.
constexpr double max_pressing_waits = 2;
// Bounds the integral part, and so the time until the level has fallen off after an overload. More
// ranks than this can't be kept away.
constexpr double max_ranks = 3;
// Time that one offer stands for, at most: an offer after a pause says nothing about the pause.
constexpr auto max_step = milliseconds(100);
// Time constant of the decay while nothing is offered, and so nothing waits.
constexpr auto idle_decay_time = milliseconds(500);

auto ratio(Duration part, Duration whole) -> double {
  return static_cast<double>(part.count()) / static_cast<double>(whole.count());
}

auto pressure_of(const offered_load& offered) -> double {
  if (offered.wait <= Duration(0)) {
    return std::min(1.0, offered.utilization);
  }
  if (offered.reference_wait <= Duration(0)) {
    return 1 + max_pressing_waits;
  }
  return 1 + std::min(max_pressing_waits, ratio(offered.wait, offered.reference_wait));
}

}  // namespace

auto overload_controller::excess() const -> double {
  return this->pressure - target_pressure;
}

auto overload_controller::idle_decay(TimePoint now) const -> double {
  const auto idle = now - this->last_offer;
  return idle <= max_step ? 1 : std::exp(-ratio(idle - max_step, idle_decay_time));
}

void overload_controller::on_offer(const offered_load& offered, TimePoint now) {
  if (this->last_offer == TimePoint(0)) {
    this->last_offer = now;
  }
  const double kept = this->idle_decay(now);
  const auto step = std::min<Duration>(now - this->last_offer, max_step);
  this->integral *= kept;
  this->pressure *= kept;
  this->last_offer = now;
  const double weight = 1 - std::exp(-ratio(step, pressure_smoothing_time));
  this->pressure += weight * (pressure_of(offered) - this->pressure);
  this->integral += integral_gain * this->excess() * ratio(step, seconds(1));
  this->integral = std::clamp(this->integral, 0.0, max_ranks);
}

auto overload_controller::level(TimePoint now) const -> shed_level {
  const double wanted = this->integral + proportional_gain * this->excess();
  return {std::clamp(wanted, 0.0, max_ranks) * this->idle_decay(now)};
}

}  // namespace ramppond
