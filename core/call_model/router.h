// Chooses the server for a call. What the server's own answers said takes precedence over the list
// from the control group.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/random.h"
#include "core/time.h"

namespace ramppond {

/// One server as listed by the control group. The list is a hint, since it may be out of date.
struct ServerInfo {
  std::string name;
  std::string service;
  std::string zone;
  std::string peer_address;       ///< HOST:PORT where its daemon accepts calls from daemons.
  std::uint64_t incarnation = 0;  ///< Of its daemon; 0 if that has no control session.
  bool leaving = false;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, name);
    visitor(2, service);
    visitor(3, zone);
    visitor(4, peer_address);
    visitor(5, incarnation);
    visitor(6, leaving);
  }
  bool operator==(const ServerInfo& other) const {
    return name == other.name && service == other.service && zone == other.zone &&
           peer_address == other.peer_address && incarnation == other.incarnation &&
           leaving == other.leaving;
  }
};

/// The server chosen for a call. A copy, since the list may change while the call is in flight.
struct RouteChoice {
  std::string server;
  std::string peer_address;
  std::uint64_t incarnation = 0;
  bool last_resort = false;  ///< Already tried, or refused or failed recently.
};

/// The state of a server as told by its own answer to a call.
struct ServerFeedback {
  std::uint64_t incarnation = 0;
  Duration latency{0};
  std::uint32_t load_permille = 0;
  bool draining = false;
  bool refused = false;
};

/// Balances load by the power of two choices (Mitzenmacher, 2001): compares a random server of the
/// local zone with a random server of any zone. The list of a service is a bounded subset of its
/// servers, so the state does not grow with the fleet.
class Router {
 public:
  Router(std::string zone, std::uint64_t random_seed)
      : zone_(std::move(zone)), random_(random_seed) {}

  /// Replaces the list of a service. Servers at the same address keep their state,
  /// but a new incarnation clears what was known of draining and failures.
  void setServers(const std::string& service, const std::vector<ServerInfo>& servers,
                  TimePoint now);
  /// Replaces the set of servers that an operator drains; they get no new work.
  void setDrainedByOperator(const std::vector<std::string>& servers);
  [[nodiscard]] bool knows(const std::string& service) const;

  /// Chooses a server for a call; one of `excluded` only if there is no better one. std::nullopt if
  /// no server of the service accepts work.
  std::optional<RouteChoice> choose(const std::string& service,
                                    const std::vector<std::string>& excluded, TimePoint now);

  void onSent(const std::string& service, const std::string& server);
  void onAnswer(const std::string& service, const std::string& server,
                const ServerFeedback& feedback, TimePoint now);
  /// The call got no answer. `never_sent` is set if not even a connection was made.
  void onFailure(const std::string& service, const std::string& server, bool never_sent,
                 TimePoint now);
  /// The call was abandoned or cancelled before it was answered.
  void onAbandoned(const std::string& service, const std::string& server);

 private:
  struct Server {
    ServerInfo info;
    std::uint64_t incarnation = 0;  ///< From the server's answers, else from the list.
    std::uint32_t outstanding = 0;
    double latency_us = 0;
    std::uint32_t load_permille = 0;
    bool draining = false;  ///< As told by the server's own answers.
    TimePoint avoid_until{0};
    std::uint32_t failures = 0;  ///< Consecutive.
    TimePoint known_since{0};
  };
  using ServerMap = std::map<std::string, Server>;

  [[nodiscard]] bool acceptsWork(const Server& server) const;
  [[nodiscard]] double score(const Server& server, TimePoint now) const;
  Server* find(const std::string& service, const std::string& server);
  const Server* pickOfTwo(const std::vector<const Server*>& candidates, TimePoint now);

  std::string zone_;
  Random random_;
  std::map<std::string, ServerMap> services_;
  std::vector<std::string> drained_by_operator_;
};

}  // namespace ramppond
