// The server beside a daemon, as its own heartbeats tell.
//
// The daemon is the only process that can reach its server, so this class is the authority on it
// and the fence: a request meant for another instance, or for one that is leaving, is refused as
// not run whatever others still believe. Pure, not thread safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/distribution/instance_registry.h"
#include "core/time.h"

namespace ramppond {

/// Names one life of a server to all daemons. A server may start again under the identity that it
/// had: whatever is known of, or sent to, its former life does not concern the new one.
std::string incarnationName(const std::string& instance_id, std::optional<std::int64_t> started_ms);

/// One heartbeat.
struct ServerHeartbeat {
  std::string instance_id;                 ///< As the server knows itself.
  std::optional<std::int64_t> started_ms;  ///< Unix time of its start, if it tells.
  std::string service;
  std::string address;  ///< HOST:PORT where the server takes requests.
  std::string zone;
  std::uint32_t slots = 0;
  bool draining = false;
  Duration cold_left{0};
  std::uint64_t sequence = 0;  ///< Rises with each heartbeat of one incarnation.

  [[nodiscard]] std::string incarnation() const { return incarnationName(instance_id, started_ms); }
};

/// A server's word that it is about to end.
struct ServerLeave {
  std::string instance_id;
  std::optional<std::int64_t> started_ms;  ///< As in ServerHeartbeat.
};

/// Why the server takes no request for an incarnation, if it takes none.
enum class FenceVerdict : std::uint8_t {
  kAdmit = 0,
  kNoServer,       ///< No server has been heard, or it has left.
  kOtherInstance,  ///< Another incarnation, or another service, runs here now.
  kDraining,       ///< The incarnation is leaving and the time for new requests has passed.
};

class LocalServer {
 public:
  /// `draining_admission` is how long after the first draining heartbeat requests that are still
  /// under way to a leaving instance may be admitted.
  explicit LocalServer(Duration draining_admission) : draining_admission_(draining_admission) {}

  /// Returns whether anything that others must know has changed. Late heartbeats change nothing,
  /// also those that were held up until another instance had registered.
  bool onHeartbeat(const ServerHeartbeat& heartbeat, TimePoint now);
  /// The incarnation has left or is about to end; it is never taken back. A leave that does not
  /// tell when its sender started is that of the current incarnation.
  bool onLeave(const ServerLeave& leave, TimePoint now);
  /// The server said that it is another one than `incarnation`, the one last heard.
  bool onWrongInstance(const std::string& incarnation);

  /// The server's address refused a connection while `established` others to it stood. Without any
  /// the server has ended without a word; one that holds some takes no more just now. Returns
  /// whether it is taken to have ended.
  bool onConnectionRefused(const std::string& incarnation, std::size_t established);

  [[nodiscard]] FenceVerdict admit(const std::string& incarnation, const std::string& service,
                                   TimePoint now) const;
  /// Whether the incarnation said that it leaves: its end is planned.
  [[nodiscard]] bool announcedEnd(const std::string& incarnation) const;
  [[nodiscard]] bool known() const { return known_; }
  [[nodiscard]] const ServerHeartbeat& heartbeat() const { return current_; }
  /// The record that the daemon tells; address, zone and numbers are the caller's to fill in.
  [[nodiscard]] InstanceRecord record() const;

 private:
  struct Past {
    std::uint64_t sequence = 0;
    bool left = false;
    bool draining = false;
  };
  void forgetOldest();
  /// Whether another incarnation than the current one may take its place.
  bool maySucceed(const ServerHeartbeat& heartbeat, bool first, TimePoint now);

  Duration draining_admission_;
  bool known_ = false;
  bool draining_ = false;
  TimePoint draining_since_{0};
  ServerHeartbeat current_;
  TimePoint heard_{0};                ///< When the current incarnation was heard last.
  std::map<std::string, Past> past_;  ///< By incarnation.
  std::string insisting_;             ///< A former one, heard once since the current one was.
};

}  // namespace ramppond
