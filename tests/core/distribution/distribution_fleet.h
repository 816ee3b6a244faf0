// Many daemons and a control group in virtual time: who asks whom, and how many bytes it costs.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/session/proxy_session.h"
#include "tests/core/control/control_group.h"

namespace ramppond {

/// What members told daemons since the counts were last taken.
struct ToldBytes {
  std::uint64_t all = 0;
  std::uint64_t longest_answer = 0;
};

/// Daemons know three members at first, as their settings say.
class DistributionFleet {
 public:
  DistributionFleet(std::size_t daemons, const GroupOptions& group);

  void run(Duration time);
  ControlGroup& group() { return group_; }
  [[nodiscard]] std::size_t daemons() const { return sessions_.size(); }
  [[nodiscard]] const ProxySession& session(std::size_t daemon) const {
    return *sessions_.at(daemon);
  }
  /// The member no longer answers daemons.
  void silence(std::size_t member) { silent_ = member; }
  void unsilence() { silent_.reset(); }
  /// The daemons that each member answered last.
  [[nodiscard]] std::vector<std::size_t> daemonsByMember() const;
  /// Records of other daemons that a daemon was told, the latest of each counted once.
  [[nodiscard]] std::size_t recordsKnown(std::size_t daemon) const {
    return known_.at(daemon).size();
  }
  ToldBytes takeToldBytes() { return std::exchange(told_, {}); }
  /// Daemons that hold another configuration than the one with this number.
  [[nodiscard]] std::size_t withoutConfiguration(std::uint64_t number) const;
  void changeRecord(std::size_t daemon);
  /// The daemon's process starts anew and knows nothing.
  void restart(std::size_t daemon);

 private:
  struct Asked {
    std::size_t daemon = 0;
    std::uint64_t poll_id = 0;
    TimePoint give_up{0};
  };
  [[nodiscard]] static std::unique_ptr<ProxySession> sessionOf(std::size_t daemon,
                                                               std::uint64_t incarnation);
  void poll(std::size_t daemon);
  void deliver(ControlToken token, const ControlReply& reply);
  void giveUp();

  ControlGroup group_;
  std::vector<std::unique_ptr<ProxySession>> sessions_;
  std::vector<std::map<std::string, InstanceRecord>> known_;
  std::vector<std::optional<std::size_t>> answered_by_;
  std::map<ControlToken, Asked> asked_;
  std::optional<std::size_t> silent_;
  ControlToken next_unanswered_ = ControlToken{1} << 40U;
  ToldBytes told_;
};

/// A configuration of `routes` routes to one service, under `number`.
TrafficConfiguration configurationOf(std::uint64_t number, std::size_t routes);

}  // namespace ramppond
