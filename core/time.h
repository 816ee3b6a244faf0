// Time types of core/. Classes in core/ do not read a clock: callers pass the current time.
#pragma once

#include <chrono>

namespace ramppond {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A duration in microseconds.
using Duration = std::chrono::microseconds;

/// A point in time, as the time since an arbitrary origin that the caller chooses. It is monotonic
/// within one process and must not be compared with values of another process.
using TimePoint = std::chrono::microseconds;

}  // namespace ramppond
