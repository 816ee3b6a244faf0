// What ramppond-daemon shows of itself.
#pragma once

#include "common/metrics.h"
#include "core/call_port/daemon_core.h"

namespace ramppond {

/// Counters and gauges of the call path and of the process.
MetricsPage daemonMetrics(const DaemonCore& core);

}  // namespace ramppond
