// A whole deployment in virtual time, with the faults that a scenario can bring about.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lab/promise_checkers.h"
#include "lab/simulation/simulated_callers.h"
#include "lab/simulation/simulated_control.h"
#include "lab/simulation/simulated_daemon.h"
#include "lab/simulation/simulated_operator.h"

namespace ramppond {

struct SimulationOptions {
  std::string policy = "ramppond";
  std::uint64_t seed = 1;
  Duration warm_up = seconds(3);    ///< The group forms, daemons get their configuration.
  Duration length = seconds(10);    ///< Of the load, after the warm-up.
  Duration wind_down = seconds(8);  ///< Requests under way end.
  double load = 0.5;                ///< Of the deployment's capacity.
  ClientRetry retry = ClientRetry::kObey;
  std::uint32_t client_retries = 3;
  Duration platform_lag = seconds(30);
};

class Simulation {
 public:
  Simulation(const Deployment& deployment, const SimulationOptions& options);

  /// Runs `action` at a time counted from the start of the load.
  void at(Duration time, std::function<void()> action);
  /// Runs everything. Returns why the fleet could not be brought up, or nothing.
  std::optional<std::string> run();

  World& world() { return world_; }
  [[nodiscard]] const SimulationOptions& options() const { return options_; }
  std::vector<std::unique_ptr<SimulatedDaemon>>& daemons() { return daemons_; }
  std::vector<std::unique_ptr<SimulatedControl>>& controls() { return controls_; }
  SimulatedCallers& callers() { return *callers_; }
  SimulatedOperator& firstOperator() { return *operators_[0]; }
  SimulatedOperator& secondOperator() { return *operators_[1]; }
  [[nodiscard]] double baseRate() const { return base_rate_; }
  Random& random() { return fault_random_; }

  SimulatedDaemon& randomDaemon();
  std::vector<SimulatedDaemon*> serversOf(const std::string& service);
  [[nodiscard]] std::string deepestService() const { return deployment_.mostCalledService(); }
  /// Names of the work types whose call trees reach `service`.
  [[nodiscard]] std::set<std::string> worksReaching(const std::string& service) const;
  /// The leading control member, or nullptr.
  SimulatedControl* leader();
  SimulatedControl* randomFollower();
  void setSlowdown(const std::string& service, double factor);
  /// Marks servers as leaving, or takes the mark back; visible after the lag.
  void tellPlatform(const std::string& server, bool leaving);
  /// Removes the identity that a wiped member had, and adds the new one.
  void readd(SimulatedControl& control);
  /// A harmless configuration change by `who`.
  void changeConfiguration(SimulatedOperator& who);
  /// A broken promise that a scenario saw while it ran.
  void reportViolation(const std::string& promise, const std::string& reason) {
    violations_.push_back({promise, world_.now().count(), "", reason});
  }
  [[nodiscard]] const Violations& reportedViolations() const { return violations_; }
  [[nodiscard]] TimePoint loadStart() const { return options_.warm_up; }
  [[nodiscard]] std::vector<std::string> serverNames() const;

 private:
  void build();
  void bootstrap();
  void addMembers(std::size_t next);
  void addMember(std::size_t index, const std::function<void()>& then);
  void pollPlatform();
  [[nodiscard]] std::vector<ServerInfo> platformList() const;

  const Deployment& deployment_;
  SimulationOptions options_;
  World world_;
  Random fault_random_;
  Directory directory_;
  double base_rate_ = 0;
  std::vector<std::unique_ptr<SimulatedControl>> controls_;
  std::vector<std::unique_ptr<SimulatedDaemon>> daemons_;
  std::vector<std::unique_ptr<SimulatedOperator>> operators_;
  std::unique_ptr<SimulatedCallers> callers_;
  std::set<std::string> leaving_;  ///< As the lagging list shows it.
  Violations violations_;
  bool configured_ = false;
  std::uint32_t changes_ = 0;
};

}  // namespace ramppond
