// Detects the crash of the server beside this proxy, and which requests it was at
// work on.
//
// Owns the runs at that server whose connection was lost, or that were abandoned,
// in the last half minute. Relies on its caller to say when a connection is lost,
// when the server answers, and when its address refuses connections or another
// instance reports itself from there. A planned stop is no crash: the caller asks
// on_alive() of it in place of on_gone(). Pure, not thread safe.
//
// A lost connection alone proves nothing: servers that live reset connections and
// break answers off. A crash ends all connections of the process at once, and the
// address refuses new ones. Only the proxy on the server's machine sees all of it.
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
  std::vector<request_digest> under_way;  // sorted, each once
  std::vector<request_digest> isolated;   // likewise; see server_run
};

/// A run of a request at the server beside this proxy.
struct server_run {
  std::string instance_id;
  request_digest digest;
  bool isolated = false;  // begun as suspected, while no other suspected request ran there
};

class crash_detector {
 public:
  /// The connection ended before the answer did.
  void on_lost(const server_run& run, TimePoint now);
  /// Nobody waits for the answer any more: its caller is gone or its deadline has
  /// passed. The server may be at work on it a little longer.
  void on_abandoned(const server_run& run, TimePoint now);
  /// The server lived at `begun`, since it answered a request that began then or a
  /// connection made then stands: no run lost up to that moment was lost in a crash.
  void on_alive(TimePoint begun);
  /// `instance_id` is gone: its address refuses connections and none stands, or
  /// another instance is there. Nothing if no request was lost with it.
  auto on_gone(const std::string& instance_id, TimePoint now) -> std::optional<crashed_server>;

  /// Whether runs were lost since the server was last known to live.
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
