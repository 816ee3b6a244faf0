// Servers of all services: the platform's list, which lags, updated from the daemons' sessions.
//
// Pure, not thread safe.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/control/control_messages.h"
#include "core/time.h"

namespace ramppond {

/// Maximum number of servers of one service that a daemon is given, so that neither its state nor
/// its connections grow with the fleet.
constexpr std::size_t kMaximumServersPerService = 16;

class ServerRegistry {
 public:
  void setPlatformList(const std::vector<ServerInfo>& servers);
  /// Records a daemon's session, reported to this or another member. Newer incarnations replace
  /// older ones.
  void onSession(const DaemonSession& session, TimePoint now);

  /// Returns the subset of a service's servers that a daemon is given. It prefers the daemon's zone
  /// and is stable for each daemon (rendezvous hashing, Thaler and Ravishankar 1998).
  [[nodiscard]] ServiceServers serversFor(const std::string& service, const std::string& zone,
                                          const std::string& daemon) const;
  /// Incremented with every change that may change a result of serversFor().
  [[nodiscard]] std::uint64_t version() const { return version_; }
  /// The value of version() at the last change of one service; 0 if there was none.
  [[nodiscard]] std::uint64_t versionOf(const std::string& service) const;

  /// Returns the sessions that changed after counter value `since`, for other members.
  [[nodiscard]] std::vector<DaemonSession> sessionsSince(std::uint64_t since) const;
  /// Incremented with every change of a session.
  [[nodiscard]] std::uint64_t sessionsCounter() const { return counter_; }
  [[nodiscard]] std::size_t listedServers() const { return service_of_server_.size(); }
  [[nodiscard]] std::size_t sessionCount() const { return sessions_.size(); }

 private:
  struct Session {
    DaemonSession session;
    TimePoint heard{0};
  };
  void apply(const DaemonSession& session);
  void markChanged(const std::string& service);
  ServerInfo* findServer(const std::string& name);

  std::map<std::string, std::vector<ServerInfo>> services_;
  std::map<std::string, std::string> service_of_server_;
  std::map<std::string, Session> sessions_;
  std::map<std::uint64_t, std::string> changes_;  ///< Counter to server; latest change of each.
  std::uint64_t counter_ = 0;
  std::uint64_t version_ = 1;
  std::map<std::string, std::uint64_t> service_versions_;
};

}  // namespace ramppond
