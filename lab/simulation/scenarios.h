// Named simulated runs, each of which provokes what a promise forbids.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "lab/promise_checkers.h"
#include "lab/simulation/simulation.h"

namespace ramppond {

struct Scenario {
  std::string name;
  std::string description;
  /// Load, lengths and callers of the run.
  std::function<void(SimulationOptions&)> configure;
  /// Schedules the faults.
  std::function<void(Simulation&)> provoke;
  /// Promises beyond those that every run is checked for.
  std::function<Violations(Simulation&)> check;
  /// Whether only planned events happen, so that no request may be cut off.
  bool nothing_cut_off = false;
  /// The variant of ramppond, one rule left out, that must break a promise in this scenario;
  /// empty if there is none.
  std::string breaks_without;
};

const std::vector<Scenario>& scenarios();
const Scenario* findScenario(const std::string& name);

struct ScenarioResult {
  std::optional<std::string> failure;  ///< The fleet did not come up.
  Violations violations;
  History history;
  std::uint64_t front_requests = 0;
  std::uint64_t completed = 0;
};

ScenarioResult runScenario(const Scenario& scenario, const Deployment& deployment,
                           std::uint64_t seed, const std::string& policy);

}  // namespace ramppond
