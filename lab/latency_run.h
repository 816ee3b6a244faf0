// What two daemons add to a call: the same load through them and straight to the back ends, at
// once.
#pragma once

#include <iosfwd>
#include <optional>

#include "lab/fleet.h"

namespace ramppond {

struct LatencyResult {
  double direct_p50_ms = 0;
  double direct_p99_ms = 0;
  double daemons_p50_ms = 0;
  double daemons_p99_ms = 0;
  double idle_daemon_megabytes = 0;

  [[nodiscard]] double addedP50Ms() const { return daemons_p50_ms - direct_p50_ms; }
  [[nodiscard]] double addedP99Ms() const { return daemons_p99_ms - direct_p99_ms; }
};

/// Offers `rate` calls a second to each daemon, and as many to the back ends. Nothing if a load
/// did not report.
std::optional<LatencyResult> measureLatency(Fleet& fleet, double rate, Duration duration);

void printLatencyResult(const LatencyResult& result, double rate, std::ostream& output);

}  // namespace ramppond
