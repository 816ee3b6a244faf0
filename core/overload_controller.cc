#include "core/overload_controller.h"

#include <algorithm>
#include <cmath>

namespace ramppond {
namespace {

// A queue that lasts a third of what requests may wait keeps the server busy.
// A shorter one leaves it idle at times (measured: 0.15 and 0.25 keep away more
// than is gained), a longer one fails more trees of calls (0.6).
constexpr double target_pressure = 0.35;
constexpr auto smoothing = milliseconds(100);
// Under full pressure all of one rank is kept away after a second. What was let
// in goes on to make calls for about half of that: a faster rise overshoots.
constexpr double rise_per_second = 1.0;
// Without any pressure: what is let in again needs as long to make calls.
constexpr auto fall_time = milliseconds(500);
// No deployment described has more ranks; bounds the time to fall off.
constexpr double most_ranks = 3;
// An offer after a pause says nothing about the pause.
constexpr auto longest_step = milliseconds(100);

auto ratio(Duration part, Duration whole) -> double {
  return static_cast<double>(part.count()) / static_cast<double>(whole.count());
}

auto pressure_of(Duration wait, Duration pressing_wait) -> double {
  if (wait <= Duration(0)) {
    return 0;
  }
  if (pressing_wait <= Duration(0)) {
    return 1;
  }
  return std::min(1.0, ratio(wait, pressing_wait));
}

}  // namespace

void overload_controller::on_offer(Duration wait, Duration pressing_wait, TimePoint now) {
  if (this->last == TimePoint(0)) {
    this->last = now;
  }
  const auto step = std::min<Duration>(now - this->last, longest_step);
  this->raised = this->level(now).value;
  this->last = now;
  const double weight = 1 - std::exp(-ratio(step, smoothing));
  this->pressure += weight * (pressure_of(wait, pressing_wait) - this->pressure);
  const double excess = (this->pressure - target_pressure) / (1 - target_pressure);
  if (excess <= 0) {
    return;
  }
  this->raised += rise_per_second * excess * ratio(step, seconds(1));
  this->raised = std::min(this->raised, most_ranks);
}

// The level falls the faster the further the pressure is below its target.
auto overload_controller::fallen(Duration time) const -> double {
  const double missing = std::max(0.0, 1 - this->pressure / target_pressure);
  return this->raised * std::exp(-missing * ratio(time, fall_time));
}

auto overload_controller::level(TimePoint now) const -> shed_level {
  const auto quiet = now - this->last;
  if (quiet <= longest_step) {
    return {this->fallen(quiet)};
  }
  // Nobody asks any more, so nobody waits.
  return {this->fallen(longest_step) * std::exp(-ratio(quiet - longest_step, fall_time))};
}

}  // namespace ramppond
