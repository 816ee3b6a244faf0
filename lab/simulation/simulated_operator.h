// An operator in virtual time: plans and confirms, and resends under one id after a lost answer.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "lab/register_checker.h"
#include "lab/simulation/simulated_control.h"
#include "lab/simulation/world.h"

namespace ramppond {

class SimulatedOperator {
 public:
  /// Ends with the reply, or nothing when it was given up.
  using Done = std::function<void(const std::optional<ControlReply>&)>;

  SimulatedOperator(World& world, Directory& directory, std::string name,
                    std::vector<std::string> addresses);

  /// Plans `changes` against the version in force now and confirms the plan.
  void change(const std::vector<ConfigurationChange>& changes, const Done& done = {});
  /// Sends one request until a member serves it.
  void ask(const ControlRequest& request, const Done& done);
  /// Reads and confirms that were answered.
  [[nodiscard]] const std::vector<RegisterOperation>& operations() const { return operations_; }
  /// Asks only the member at `address`.
  void askMember(const std::string& address, const ControlRequest& request, const Done& done);

 private:
  void askFrom(std::size_t next, const std::string& target, const ControlRequest& request,
               std::uint32_t attempts, const Done& done);
  void plan(const std::vector<ConfigurationChange>& changes, ConfigurationVersion base,
            const Done& done);
  void confirm(std::uint64_t plan_id, ConfigurationVersion base, const Done& done);
  void recordOperation(RegisterOperationType type, TimePoint invoked, ConfigurationVersion base,
                       ConfigurationVersion version);
  std::string requestId() { return name_ + "-" + std::to_string(next_request_++); }

  World& world_;
  Directory& directory_;
  std::string name_;
  std::vector<std::string> addresses_;
  NodeNumber node_;
  std::uint64_t next_request_ = 1;
  std::vector<RegisterOperation> operations_;
};

}  // namespace ramppond
