// Metrics page of ramppond-daemon.
#pragma once

#include "common/metrics.h"
#include "core/call_port/daemon_core.h"

namespace ramppond {

/// Returns the counters and gauges of the call path and of the process.
MetricsPage daemonMetrics(const DaemonCore& core);

}  // namespace ramppond
