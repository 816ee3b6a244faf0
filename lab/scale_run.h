// Measures the control group against fleets of hollow daemons of growing size.
#pragma once

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"

namespace ramppond {

struct ScaleOptions {
  std::string folder;  ///< For settings, data and logs; made anew for each size.
  std::string program_folder;
  std::size_t daemons = 100;
  std::size_t control_members = 3;
  std::size_t services = 1300;
  std::size_t zones = 15;
  std::size_t work_types = 100;  ///< Size of the configuration that is handed out.
  Duration phase = seconds(10);  ///< Length of each measured phase.
  std::size_t restarts = 500;
};

/// Times from the sending of a confirm until a daemon has the version in force, in ms.
struct InForceTimes {
  double p50_ms = 0;
  double p99_ms = 0;
  double maximum_ms = 0;
  std::size_t versions = 0;
  bool everywhere = false;  ///< Every daemon got every version or a newer one.
};

/// Figures of one phase, per process or per daemon.
struct LoadFigures {
  double leader_core_percent = 0;
  double follower_core_percent = 0;  ///< The busiest follower.
  double daemon_core_percent = 0;    ///< Mean of the hollow daemons.
  double daemon_bytes_per_second = 0;
};

struct ScaleResult {
  std::size_t daemons = 0;
  std::size_t control_members = 0;
  double attach_seconds = 0;
  LoadFigures idle;
  LoadFigures slow_changes;  ///< 0.5 a second.
  LoadFigures fast_changes;  ///< 5 a second.
  InForceTimes slow_times;
  InForceTimes fast_times;
  double control_megabytes = 0;  ///< The largest member.
  double hollow_kilobytes = 0;   ///< Per daemon.
  double restart_seconds = 0;
  double reattach_seconds = 0;
  double claims_per_second = 0;
  double claim_p99_ms = 0;
  double log_bytes_per_change = 0;
  double snapshot_kilobytes = 0;
};

/// Runs one size. Returns nothing, with the reason on `progress`, if the fleet did not come up.
std::optional<ScaleResult> runScale(const ScaleOptions& options, std::ostream& progress);

std::string scaleCsvHeader();
std::string scaleCsvRow(const ScaleResult& result);

}  // namespace ramppond
