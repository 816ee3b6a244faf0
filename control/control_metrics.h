// Metrics page of ramppond-control.
#pragma once

#include "common/metrics.h"
#include "core/control/control_core.h"
#include "storage/raft_storage.h"

namespace ramppond {

/// Returns the counters and gauges of the member, its storage and the process. `polls_refused` is
/// the number of daemons' polls refused because too many were waiting.
MetricsPage controlMetrics(const ControlCore& core, const RaftStorage& storage,
                           std::uint64_t polls_refused, TimePoint now);

}  // namespace ramppond
