// Test fixture: a group of ControlCore members in virtual time, without a network.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/control/control_core.h"

namespace ramppond {

struct GroupOptions {
  std::size_t members = 3;
  std::size_t first = 3;  ///< Number of members in the initial membership; the others join.
  std::size_t zones = 0;  ///< Zones, assigned to members round-robin; 0 for none.
  Duration step = milliseconds(10);
};

/// Messages between members are delivered at once. One member may be isolated from the others.
class ControlGroup {
 public:
  explicit ControlGroup(const GroupOptions& options = {});

  void step();
  void run(Duration time);
  [[nodiscard]] TimePoint now() const { return now_; }
  [[nodiscard]] std::size_t size() const { return cores_.size(); }
  [[nodiscard]] const ControlCore& core(std::size_t member) const { return *cores_.at(member); }
  [[nodiscard]] std::size_t leader() const;
  [[nodiscard]] static std::string addressOf(std::size_t member);
  [[nodiscard]] static std::size_t memberAt(const std::string& address);
  void isolate(std::size_t member) { isolated_ = member; }

  /// Sends a request to a member, like a daemon or an operator.
  ControlToken request(std::size_t member, const ControlRequest& request);
  /// Returns the answers to these requests since the last call.
  std::map<ControlToken, ControlReply> takeAnswers() { return std::exchange(answers_, {}); }
  /// Returns the size of the members' answers to each other since the last call, without Raft
  /// messages.
  std::uint64_t takeMemberBytes() { return std::exchange(member_bytes_, 0); }
  /// Requests, like an operator, the replacement of configuration `base_number`.
  void replaceTraffic(std::uint64_t base_number, const TrafficConfiguration& configuration);

 private:
  struct PendingRequest {
    std::size_t member = 0;
    std::uint64_t request_id = 0;
  };
  [[nodiscard]] bool canReach(std::size_t from, std::size_t to) const {
    return from != isolated_ && to != isolated_;
  }
  void sendMissingJoinRequests();
  void work(std::size_t member);
  void ask(std::size_t from, const MemberRequest& request);
  void deliver(std::size_t from, const ControlAnswer& answer);

  Duration step_;
  TimePoint now_{0};
  std::vector<std::unique_ptr<ControlCore>> cores_;
  std::map<ControlToken, PendingRequest> pending_requests_;  ///< Requests of other members.
  std::map<ControlToken, ControlReply> answers_;
  ControlToken next_token_ = 1000;
  std::size_t isolated_;
  std::uint64_t member_bytes_ = 0;
};

}  // namespace ramppond
