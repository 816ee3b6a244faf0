// Control members in virtual time, without a network: for tests of what they tell daemons.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/control/control_core.h"

namespace ramppond {

struct GroupOptions {
  std::size_t members = 3;
  std::size_t first = 3;  ///< Of these, in the group from the start; the others join.
  std::size_t zones = 0;  ///< That members tell, in turn; 0 for none.
  Duration step = milliseconds(10);
};

/// Messages between members take no time. Any member may be cut off from the others.
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
  void cutOff(std::size_t member) { cut_off_ = member; }

  /// Asks a member as a daemon or an operator does.
  ControlToken request(std::size_t member, const ControlRequest& request);
  /// Answers to such requests since the last call.
  std::map<ControlToken, ControlReply> takeAnswers() { return std::exchange(answers_, {}); }
  /// Bytes that members told each other in answers since the last call, Raft's apart.
  std::uint64_t takeMemberBytes() { return std::exchange(member_bytes_, 0); }
  /// An operator puts `configuration` in force, on top of `base_number`.
  void replaceTraffic(std::uint64_t base_number, const TrafficConfiguration& configuration);

 private:
  struct Asked {
    std::size_t member = 0;
    std::uint64_t request_id = 0;
  };
  [[nodiscard]] bool reach(std::size_t from, std::size_t to) const {
    return from != cut_off_ && to != cut_off_;
  }
  void joinThoseOutside();
  void work(std::size_t member);
  void ask(std::size_t from, const MemberRequest& request);
  void deliver(std::size_t from, const ControlAnswer& answer);

  Duration step_;
  TimePoint now_{0};
  std::vector<std::unique_ptr<ControlCore>> cores_;
  std::map<ControlToken, Asked> asked_;  ///< By other members.
  std::map<ControlToken, ControlReply> answers_;
  ControlToken next_token_ = 1000;
  std::size_t cut_off_;
  std::uint64_t member_bytes_ = 0;
};

}  // namespace ramppond
