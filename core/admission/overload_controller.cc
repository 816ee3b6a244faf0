#include "core/admission/overload_controller.h"

#include <algorithm>
#include <cmath>

namespace ramppond {
namespace {

// All slots in use and an expected wait of 0.4 reference waits. With a lower target slots are idle
// at times; with a higher one more call trees have a call refused.
constexpr double target_pressure = 1.4;
// With a shorter time single requests move the level; with a longer one the level follows a step of
// the load late.
constexpr auto pressure_smoothing_time = milliseconds(100);
// Ranks for each unit of pressure above the target. With a lower gain the level oscillates. With a
// higher one, proxies that learn of the level late refuse urgent requests too.
constexpr double proportional_gain = 0.8;
// Ranks per second for each unit of pressure above the target. With a higher gain the level
// oscillates; with a lower one it follows a lasting overload late.
constexpr double integral_gain = 0.3;
// Longer waits count as this many reference waits. With a lower maximum a load that doubles at once
// looks like a small overload, and the level rises too late.
constexpr double max_reference_waits = 2;
// Maximum of the level and of its integral part, which bounds the time in which the level decays
// after an overload. No more ranks than this can be shed.
constexpr double max_ranks = 3;
// Maximum time that one offer accounts for: an offer after a pause says nothing about the pause.
constexpr auto max_step = milliseconds(100);
// Time constant of the decay while no requests are offered, so that none waits.
constexpr auto idle_decay_time = milliseconds(500);

auto ratio(Duration part, Duration whole) -> double {
  return static_cast<double>(part.count()) / static_cast<double>(whole.count());
}

auto pressure_of(const offered_load& offered) -> double {
  if (offered.wait <= Duration(0)) {
    return std::min(1.0, offered.utilization);
  }
  if (offered.reference_wait <= Duration(0)) {
    return 1 + max_reference_waits;
  }
  return 1 + std::min(max_reference_waits, ratio(offered.wait, offered.reference_wait));
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
