// Knows which server runs beside a proxy and decides whether it takes a request (the fence).
//
// Input: the server's heartbeats and leaves, answers that say that it leaves, refused connections,
// and the incarnation that a request is meant for (times in microseconds). Output: the server's
// current incarnation and its state, the record that the proxy writes, and for each request admit
// or the reason why not. Owns the current incarnation and what former ones reported. Pure, not
// thread safe.
//
// Only the proxy beside a server can reach it, so this class is the authority on it: a request
// meant for another incarnation, or for one that is leaving, is refused as not run, whatever other
// proxies still believe. A server may start again under the id that it had; requests, times and
// crashes of its former incarnation don't concern the new one.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/distribution/instance_registry.h"
#include "core/time.h"

namespace ramppond {

/// The name of one incarnation of a server: the time from one start of its process to its end.
/// Without a start time, a server that starts again under its id can't be told from its former
/// incarnation.
std::string incarnationName(const std::string& instance_id, std::optional<std::int64_t> started_ms);

/// One heartbeat of a server.
struct ServerHeartbeat {
  std::string instance_id;                 ///< The server's own id, without its start.
  std::optional<std::int64_t> started_ms;  ///< Unix time of its start, if reported.
  std::string service;
  std::string address;  ///< HOST:PORT where the server takes requests.
  std::string zone;
  std::uint32_t slots = 0;  ///< Requests that it works on at a time.
  bool draining = false;
  Duration cold_left{0};       ///< How much longer it is slow from its start.
  std::uint64_t sequence = 0;  ///< Rises with each heartbeat of one incarnation.

  [[nodiscard]] std::string incarnation() const { return incarnationName(instance_id, started_ms); }
};

/// A server reports that it is about to end.
struct ServerLeave {
  std::string instance_id;
  std::optional<std::int64_t> started_ms;  ///< As in ServerHeartbeat.
};

/// Whether the server takes a request for an incarnation, or why not.
enum class FenceVerdict : std::uint8_t {
  kAdmit = 0,
  kNoServer,       ///< No server has sent a heartbeat, or it has ended.
  kOtherInstance,  ///< Another incarnation, or one of another service, runs here now.
  kDraining,       ///< The incarnation is leaving and its time for new requests has passed.
};

class LocalServer {
 public:
  /// `draining_admission`: for this time after the first draining heartbeat, requests to a leaving
  /// incarnation are admitted, since they may have been sent before its record arrived.
  explicit LocalServer(Duration draining_admission) : draining_admission_(draining_admission) {}

  /// Returns whether the record has changed. A late heartbeat changes nothing, also one that was
  /// delayed until another incarnation had registered.
  bool onHeartbeat(const ServerHeartbeat& heartbeat, TimePoint now);
  /// The incarnation has left or is about to end; later heartbeats of it are ignored. A leave
  /// without a start time counts for the current incarnation. Returns whether the record changed.
  bool onLeave(const ServerLeave& leave, TimePoint now);
  /// An answer of `incarnation` said that it is leaving, which no later heartbeat takes back.
  /// Returns whether the record changed.
  bool onLeavingAnswer(const std::string& incarnation, TimePoint now);
  /// The server answered that it is not `incarnation`. Returns whether that was the current one; no
  /// server is known from then on.
  bool onWrongInstance(const std::string& incarnation);

  /// The server's address refused a connection while `established` other connections to it stood.
  /// With none the server has ended without a leave; a server with connections only takes no more
  /// at present. Returns whether it is taken to have ended.
  bool onConnectionRefused(const std::string& incarnation, std::size_t established);

  [[nodiscard]] FenceVerdict admit(const std::string& incarnation, const std::string& service,
                                   TimePoint now) const;
  /// Whether the incarnation reported that it is leaving, so that its end is no crash.
  [[nodiscard]] bool announcedLeave(const std::string& incarnation) const;
  [[nodiscard]] bool known() const { return known_; }
  /// The last heartbeat of the current incarnation, or of the last one if none is known.
  [[nodiscard]] const ServerHeartbeat& heartbeat() const { return current_; }
  /// The record for other proxies; the caller fills in address, zone, incarnation and revision.
  [[nodiscard]] InstanceRecord record() const;

 private:
  struct Incarnation {
    std::uint64_t sequence = 0;  ///< Of its last heartbeat.
    bool left = false;
    bool draining = false;
    bool said_leaving = false;  ///< In an answer.
  };
  [[nodiscard]] bool isCurrent(const std::string& incarnation) const;
  /// Forgets one other incarnation than the current one if too many are held.
  void makeRoom();
  /// Whether another incarnation than the current one takes its place. `first`: this is its first
  /// heartbeat. `heard_again`: the heartbeat before was its own too.
  [[nodiscard]] bool maySucceed(const ServerHeartbeat& heartbeat, bool first, bool heard_again,
                                TimePoint now) const;
  /// The sender is the current incarnation now; returns whether the record has changed.
  bool takeOver(const ServerHeartbeat& heartbeat, TimePoint now);

  Duration draining_admission_;
  bool known_ = false;
  std::optional<TimePoint> draining_since_;  ///< Of the current incarnation, by whichever sign.
  ServerHeartbeat current_;
  TimePoint last_heartbeat_{0};                      ///< Of the current incarnation.
  std::map<std::string, Incarnation> incarnations_;  ///< By name, the current one included.
  std::string contender_;  ///< Another incarnation, heard since the last heartbeat of the current.
};

}  // namespace ramppond
