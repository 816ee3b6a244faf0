// The present duration of work on a server's machine as a multiple of the usual one.
//
// Stateless and thread safe.
#pragma once

#include <cstdint>

#include "core/time.h"

namespace ramppond {

/// 1 is the usual speed, 3 means that work takes three times as long.
struct slowdown_factor {
  double value = 1;
};

/// Returns how long work takes at this slowdown that takes `usual` at usual speed.
inline auto slowed(Duration usual, slowdown_factor slowdown) -> Duration {
  return Duration(static_cast<std::int64_t>(static_cast<double>(usual.count()) * slowdown.value));
}

}  // namespace ramppond
