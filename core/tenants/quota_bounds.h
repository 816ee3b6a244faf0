// The upper bound on the requests of a tenant that all proxies together run. In any window at most
// (rate x window + burst) x (1 + excess) + slack requests may run. Plain data; safe to read from
// any thread.
#pragma once

#include <chrono>

#include "core/time.h"

namespace ramppond {

struct QuotaBounds {
  Duration window = seconds(5);
  double excess = 0.1;  ///< Share beyond the limit that may run, 0.1 for 10 %.
  double slack = 20;    ///< Requests beyond that share that may run.

  /// Length of the window in seconds.
  [[nodiscard]] auto window_length() const -> double {
    return std::chrono::duration<double>(this->window).count();
  }
  /// Maximum number of requests of a tenant that may run in a window over all proxies. `rate` is in
  /// requests per second, `burst` in requests.
  [[nodiscard]] auto max_runs(double rate, double burst) const -> double {
    return (rate * this->window_length() + burst) * (1 + this->excess) + this->slack;
  }
};

}  // namespace ramppond
