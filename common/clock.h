// The clock from which every age, lease and time-out is read.
#pragma once

#include <chrono>

#include "core/time.h"

namespace ramppond {

/// A clock that never runs backwards and goes on while the machine is suspended, as the clocks of
/// all others do: what has lapsed for them must have lapsed here when the machine wakes. The steady
/// clock of the standard library stands still meanwhile. Source: CLOCK_BOOTTIME.
TimePoint monotonicNow();

/// The same for timers of Boost.Asio. The kernel's timer behind them stands still meanwhile, so a
/// timer that fell due during a suspension fires with the first one that is set after it.
struct SuspensionClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<SuspensionClock>;
  static constexpr bool is_steady = true;
  static time_point now() noexcept { return time_point(monotonicNow()); }
};

}  // namespace ramppond
