// The servers of all services: the platform's lagging list, corrected by daemons' own sessions.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/control/control_messages.h"
#include "core/time.h"

namespace ramppond {

/// A daemon is told of at most this many servers of one service, so that neither its state nor
/// its connections grow with the fleet.
constexpr std::size_t kMaximumServersPerService = 16;

class ServerRegistry {
 public:
  void setPlatformList(const std::vector<ServerInfo>& servers);
  /// A daemon's own word, heard here or by another member. Newer incarnations replace older ones.
  void onSession(const DaemonSession& session, TimePoint now);

  /// The servers of a service that a daemon should know: its own zone first, then a choice that
  /// is stable for that daemon (rendezvous hashing, Thaler and Ravishankar 1998).
  [[nodiscard]] ServiceServers serversFor(const std::string& service, const std::string& zone,
                                          const std::string& daemon) const;
  /// Grows with every change of what serversFor() may give.
  [[nodiscard]] std::uint64_t version() const { return version_; }
  /// The value of version() at the last change of one service; 0 if there was none.
  [[nodiscard]] std::uint64_t versionOf(const std::string& service) const;

  /// Sessions changed after counter `since`, for other members; and the present counter.
  [[nodiscard]] std::vector<DaemonSession> sessionsSince(std::uint64_t since) const;
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
  std::map<std::uint64_t, std::string> changes_;  ///< Counter to server, the latest change each.
  std::uint64_t counter_ = 0;
  std::uint64_t version_ = 1;
  std::map<std::string, std::uint64_t> service_versions_;
};

}  // namespace ramppond
