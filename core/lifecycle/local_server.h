// Tracks which server incarnation runs beside a proxy, and fences requests for other incarnations.
//
// Input: the server's heartbeats and leave messages, answers that report that it is leaving,
// refused connections, and the incarnation that a request is addressed to (times in microseconds).
// Output: the server's current incarnation and state, the record that the proxy publishes, and for
// each request whether it is admitted or the reason why not; also the departures that must be
// stored before a report is acknowledged (core/lifecycle/departure_recorder.h). Owns the current
// incarnation and the reports of former ones. No I/O; not thread safe.
//
// Only the proxy beside a server can reach it, so this class is the authority on the server: a
// request addressed to another incarnation, or to one that is leaving, is refused as not run, even
// if other proxies have older information. A server may restart with the same id; requests, service
// times and crashes of its former incarnation are not attributed to the new one.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/distribution/instance_registry.h"
#include "core/distribution/server_departure.h"
#include "core/time.h"

namespace ramppond {

/// Returns the name of one incarnation of a server, which lasts from the start of its process to
/// its end. Without a start time, a server that restarts with the same id cannot be distinguished
/// from its former incarnation.
std::string incarnationName(const std::string& instance_id, std::optional<std::int64_t> started_ms);

/// One heartbeat of a server.
struct ServerHeartbeat {
  std::string instance_id;                 ///< The server's id, without its start time.
  std::optional<std::int64_t> started_ms;  ///< Unix time of its start, if reported.
  std::string service;
  std::string address;  ///< HOST:PORT where the server accepts requests.
  std::string zone;
  std::uint32_t slots = 0;  ///< Maximum number of concurrent requests.
  bool draining = false;
  Duration cold_left{0};       ///< Remaining warm-up time, during which it is slow.
  std::uint64_t sequence = 0;  ///< Increases with each heartbeat of one incarnation.

  [[nodiscard]] std::string incarnation() const { return incarnationName(instance_id, started_ms); }
};

/// A message of a server that it is about to end.
struct ServerLeave {
  std::string instance_id;
  std::optional<std::int64_t> started_ms;  ///< As in ServerHeartbeat.
};

/// Whether a request for an incarnation is admitted, or why not.
enum class FenceVerdict : std::uint8_t {
  kAdmit = 0,
  kNoServer,       ///< No server has sent a heartbeat, or it has ended.
  kOtherInstance,  ///< Another incarnation or a server of another service runs here now.
  kDraining,       ///< The incarnation is leaving and its time for new requests has passed.
};

class LocalServer {
 public:
  /// `draining_admission`: time after the first draining heartbeat during which requests to a
  /// leaving incarnation are still admitted, since they may have been sent before its record
  /// arrived.
  explicit LocalServer(Duration draining_admission) : draining_admission_(draining_admission) {}

  /// Processes a heartbeat and returns whether the record has changed. A late heartbeat is ignored,
  /// even if another incarnation has registered meanwhile.
  bool onHeartbeat(const ServerHeartbeat& heartbeat, TimePoint now);
  /// Records that the incarnation has left or is about to end; its later heartbeats are ignored. A
  /// leave without a start time applies to the current incarnation. Returns whether the record has
  /// changed.
  bool onLeave(const ServerLeave& leave, TimePoint now);
  /// Records that an answer of `incarnation` reported that it is leaving. Later heartbeats do not
  /// revert this. Returns whether the record has changed.
  bool onLeavingAnswer(const std::string& incarnation, TimePoint now);
  /// Applies the departures that a former process of this proxy has acknowledged: heartbeats that
  /// are older than them are ignored, and requests are no longer admitted. Returns whether the
  /// record has changed.
  bool restore(const departure_batch& acknowledged, TimePoint now);
  /// Returns the departures that reports or answers have announced since the last call. Their
  /// proxy_address is empty.
  std::vector<server_departure> takeDepartures() { return std::exchange(departures_, {}); }
  /// Records that the server answered that it is not `incarnation`. If that was the current one, no
  /// server is known until the next heartbeat, and true is returned.
  bool onWrongInstance(const std::string& incarnation);

  /// Records that the server's address refused a connection while `established` other connections
  /// to it were open. Without other connections the server has ended without a leave; otherwise it
  /// only accepts no further connections at present. Returns whether it is considered ended.
  bool onConnectionRefused(const std::string& incarnation, std::size_t established);

  /// Returns whether a request for `incarnation` of `service` is admitted.
  [[nodiscard]] FenceVerdict admit(const std::string& incarnation, const std::string& service,
                                   TimePoint now) const;
  /// Returns whether the incarnation reported that it is leaving, so that its end is not a crash.
  [[nodiscard]] bool announcedLeave(const std::string& incarnation) const;
  [[nodiscard]] bool known() const { return known_; }
  /// The last heartbeat of the current incarnation, or of the previous one if none is known.
  [[nodiscard]] const ServerHeartbeat& heartbeat() const { return current_; }
  /// Returns the record for other proxies. The caller fills in address, zone, incarnation and
  /// revision.
  [[nodiscard]] InstanceRecord record() const;

 private:
  struct Incarnation {
    std::uint64_t sequence = 0;  ///< Of its last heartbeat.
    bool left = false;
    bool draining = false;
    bool reported_leaving = false;  ///< Reported in an answer.
    /// A former process acknowledged that it is leaving: no further request is admitted.
    bool acknowledged_before = false;
  };
  [[nodiscard]] bool isCurrent(const std::string& incarnation) const;
  /// Removes one incarnation other than the current one if too many are kept.
  void evictIncarnation();
  /// Returns whether the sender replaces the current incarnation. `first`: this is the sender's
  /// first heartbeat. `heard_again`: the previous heartbeat was from the sender too.
  [[nodiscard]] bool mayReplaceCurrent(const ServerHeartbeat& heartbeat, bool first,
                                       bool heard_again, TimePoint now) const;
  void announceDeparture(const std::string& incarnation, std::uint64_t last_sequence);
  /// Returns until when requests to a leaving incarnation are admitted.
  [[nodiscard]] TimePoint endOfAdmission(const Incarnation& leaving, TimePoint now) const;
  /// Makes the sender the current incarnation. Returns whether the record has changed.
  bool acceptAsCurrent(const ServerHeartbeat& heartbeat, TimePoint now);

  Duration draining_admission_;
  bool known_ = false;
  /// Set while the current incarnation is leaving, by any report.
  std::optional<TimePoint> admitted_until_;
  std::vector<server_departure> departures_;  ///< To be stored.
  ServerHeartbeat current_;
  TimePoint last_heartbeat_{0};                      ///< Of the current incarnation.
  std::map<std::string, Incarnation> incarnations_;  ///< By name, including the current one.
  /// Another incarnation that sent a heartbeat since the last one of the current incarnation.
  std::string challenger_;
};

}  // namespace ramppond
