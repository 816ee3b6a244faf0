// Detects crashes of the server beside this proxy and the requests that were in flight at them.
//
// Owns the runs at that server that lost their connection or were abandoned within the last 30 s.
// Relies on the caller to report when a connection is lost, when the server answers, and when its
// address refuses connections or another instance registers from there. A planned stop is not a
// crash: the caller calls on_alive() for it instead of on_gone(). No I/O; not thread safe.
//
// A lost connection alone is no proof of a crash, since live servers reset connections and abort
// answers too. A crash ends all connections of the process at once, and the address refuses new
// ones. Only the proxy on the server's machine can observe all of this.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "core/crash_evidence/request_digest.h"
#include "core/time.h"

namespace ramppond {

struct crashed_server {
  std::string instance_id;
  std::vector<request_digest> under_way;  // sorted, without duplicates
  std::vector<request_digest> isolated;   // a sorted subset; see server_run
};

/// A run of a request at the server beside this proxy.
struct server_run {
  std::string instance_id;
  request_digest digest;
  bool isolated = false;  // started while suspected, with no other suspected request there
};

class crash_detector {
 public:
  /// The connection ended before the answer was complete.
  void on_lost(const server_run& run, TimePoint now);
  /// The caller disconnected or the deadline expired. The server may continue the run for a short
  /// time.
  void on_abandoned(const server_run& run, TimePoint now);
  /// The server was alive at `begun`: it answered a request that began then, or a connection opened
  /// then is still up. Runs lost until that time were not lost in a crash.
  void on_alive(TimePoint begun);
  /// The instance is gone: its address refuses connections and none is open, or another instance
  /// has replaced it. Returns std::nullopt if no request was lost with it.
  auto on_gone(const std::string& instance_id, TimePoint now) -> std::optional<crashed_server>;

  /// Whether runs were lost since the server was last known to be alive.
  [[nodiscard]] auto is_pending() const -> bool;

 private:
  struct lost_run {
    server_run run;
    TimePoint when{0};
    bool abandoned = false;
  };
  void add(const lost_run& lost);
  [[nodiscard]] auto last_loss(const std::string& instance_id, TimePoint now) const
      -> std::optional<TimePoint>;

  std::deque<lost_run> runs;  // oldest first
};

}  // namespace ramppond
