// What ramppond-control shows of itself.
#pragma once

#include "common/metrics.h"
#include "core/control/control_core.h"
#include "storage/raft_storage.h"

namespace ramppond {

/// Counters and gauges of the member, its storage and the process. `polls_refused`: daemons' polls
/// that were turned away because too many waited.
MetricsPage controlMetrics(const ControlCore& core, const RaftStorage& storage,
                           std::uint64_t polls_refused, TimePoint now);

}  // namespace ramppond
