// Simulates many daemons and a control group in virtual time. Records which member each daemon
// polls and how many bytes the answers take.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/session/proxy_session.h"
#include "tests/core/control/control_group.h"

namespace ramppond {

/// Bytes that members sent to daemons since takeSentBytes() was last called.
struct SentBytes {
  std::uint64_t all = 0;
  std::uint64_t longest_answer = 0;
};

/// Each daemon has the addresses of three members in its settings.
class DistributionFleet {
 public:
  DistributionFleet(std::size_t daemons, const GroupOptions& group);

  void run(Duration time);
  ControlGroup& group() { return group_; }
  [[nodiscard]] std::size_t daemons() const { return sessions_.size(); }
  [[nodiscard]] const ProxySession& session(std::size_t daemon) const {
    return *sessions_.at(daemon);
  }
  /// Makes the member stop answering daemons.
  void silence(std::size_t member) { silent_ = member; }
  void endSilence() { silent_.reset(); }
  /// Number of daemons by the member that answered them last.
  [[nodiscard]] std::vector<std::size_t> daemonsByMember() const;
  /// Number of other daemons whose records a daemon has received.
  [[nodiscard]] std::size_t recordsKnown(std::size_t daemon) const {
    return known_.at(daemon).size();
  }
  SentBytes takeSentBytes() { return std::exchange(sent_, {}); }
  /// Number of daemons that do not hold the configuration with this number.
  [[nodiscard]] std::size_t withoutConfiguration(std::uint64_t number) const;
  void changeRecord(std::size_t daemon);
  /// Restarts the daemon's process with empty state.
  void restart(std::size_t daemon);

 private:
  struct PendingPoll {
    std::size_t daemon = 0;
    std::uint64_t poll_id = 0;
    TimePoint deadline{0};
  };
  [[nodiscard]] static std::unique_ptr<ProxySession> sessionOf(std::size_t daemon,
                                                               std::uint64_t incarnation);
  void poll(std::size_t daemon);
  void deliver(ControlToken token, const ControlReply& reply);
  void expirePolls();

  ControlGroup group_;
  std::vector<std::unique_ptr<ProxySession>> sessions_;
  std::vector<std::map<std::string, InstanceRecord>> known_;
  std::vector<std::optional<std::size_t>> answered_by_;
  std::map<ControlToken, PendingPoll> pending_;
  std::optional<std::size_t> silent_;
  ControlToken next_unanswered_ = ControlToken{1} << 40U;
  SentBytes sent_;
};

/// Returns a configuration with version `number` and `routes` routes to one service.
TrafficConfiguration configurationOf(std::uint64_t number, std::size_t routes);

}  // namespace ramppond
