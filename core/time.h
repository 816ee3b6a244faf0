// Time as the pure classes see it: a driver passes the present moment into every call.
#pragma once

#include <chrono>

namespace ramppond {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A length of time; all of core/ counts in microseconds.
using Duration = std::chrono::microseconds;

/// A moment, as the time since an arbitrary origin that the driver chooses. It never runs
/// backwards within one process and means nothing to another process.
using TimePoint = std::chrono::microseconds;

}  // namespace ramppond
