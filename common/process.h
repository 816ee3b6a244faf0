// What every long-running program does: wait for a signal to stop, tell the time, draw a seed.
#pragma once

#include <cstdint>

#include "common/clock.h"

namespace ramppond {

/// Milliseconds of the wall clock since 1970.
std::int64_t wallClockMs();
/// A random number from the system; never zero.
std::uint64_t randomNumber();

/// Blocks SIGTERM and SIGINT for all threads started later; call it first in main().
void blockStopSignals();
/// Waits until one of them arrives.
void waitForStopSignal();
/// Sets the allowed number of open files to the hard limit.
void raiseFileLimit();

}  // namespace ramppond
