// The bound on a tenant's requests over all proxies: in any window, no more than
// (rate x window + burst) x (1 + excess) + slack may run. Pure; any thread.
#pragma once

#include <chrono>

#include "core/time.h"

namespace ramppond {

struct QuotaBounds {
  Duration window = seconds(5);
  double excess = 0.1;  ///< Share beyond the limit that may run.
  double slack = 20;    ///< Requests beyond that share that may run.

  /// In seconds.
  [[nodiscard]] auto window_length() const -> double {
    return std::chrono::duration<double>(this->window).count();
  }
  /// The most requests of a tenant that may run over all proxies in a window. `rate` is in requests
  /// per second, `burst` in requests.
  [[nodiscard]] auto most_runs(double rate, double burst) const -> double {
    return (rate * this->window_length() + burst) * (1 + this->excess) + this->slack;
  }
};

}  // namespace ramppond
