// Chooses the server that a call is sent to, from first-hand experience before what others report.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/random.h"
#include "core/time.h"

namespace ramppond {

/// One server as the control group lists it. The list lags; it is a hint.
struct ServerInfo {
  std::string name;
  std::string service;
  std::string zone;
  std::string peer_address;       ///< HOST:PORT where its daemon takes calls of other daemons.
  std::uint64_t incarnation = 0;  ///< Of its daemon, if it has a control session; else 0.
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

/// Where a call goes: copied out, since the list may change while the call is under way.
struct RouteChoice {
  std::string server;
  std::string peer_address;
  std::uint64_t incarnation = 0;
  bool last_resort = false;  ///< It was tried already or has just refused or failed.
};

/// What an answer says first-hand about the server that gave it.
struct ServerFeedback {
  std::uint64_t incarnation = 0;
  Duration latency{0};
  std::uint32_t load_permille = 0;
  bool draining = false;
  bool refused = false;
};

/// Power of two choices (Mitzenmacher, 2001) between a server of the own zone and any other. A
/// service's list is a bounded subset, so the state does not grow with the fleet.
class Router {
 public:
  Router(std::string zone, std::uint64_t random_seed)
      : zone_(std::move(zone)), random_(random_seed) {}

  void setServers(const std::string& service, const std::vector<ServerInfo>& servers,
                  TimePoint now);
  /// Servers that an operator drains; they get no new work.
  void setDrainedByOperator(const std::vector<std::string>& servers);
  [[nodiscard]] bool knows(const std::string& service) const;

  /// A server for a call, avoiding `excluded` unless nothing else is left.
  std::optional<RouteChoice> choose(const std::string& service,
                                    const std::vector<std::string>& excluded, TimePoint now);

  void onSent(const std::string& service, const std::string& server);
  void onAnswer(const std::string& service, const std::string& server,
                const ServerFeedback& feedback, TimePoint now);
  /// The call got no answer; `never_sent` when not even a connection was made.
  void onFailure(const std::string& service, const std::string& server, bool never_sent,
                 TimePoint now);
  /// The call was given up or cancelled before an answer.
  void onAbandoned(const std::string& service, const std::string& server);

 private:
  struct Server {
    ServerInfo info;
    std::uint64_t incarnation = 0;  ///< First-hand, else as listed.
    std::uint32_t outstanding = 0;
    double latency_us = 0;
    std::uint32_t load_permille = 0;
    bool draining = false;  ///< It said so itself.
    TimePoint avoid_until{0};
    std::uint32_t failures = 0;  ///< In a row.
    TimePoint known_since{0};
  };
  using ServerMap = std::map<std::string, Server>;

  [[nodiscard]] bool takesWork(const Server& server) const;
  [[nodiscard]] double score(const Server& server, TimePoint now) const;
  Server* find(const std::string& service, const std::string& server);
  const Server* pickAmong(const std::vector<const Server*>& candidates, TimePoint now);

  std::string zone_;
  Random random_;
  std::map<std::string, ServerMap> services_;
  std::vector<std::string> drained_;
};

}  // namespace ramppond
