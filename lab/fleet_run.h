// One run of a fleet under load, with faults and an operator, judged by the promise checkers.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "lab/fleet.h"
#include "lab/load_generator.h"
#include "lab/promise_checkers.h"

namespace ramppond {

struct FleetRunOptions {
  double rate = 60;
  Duration duration = seconds(20);
  ClientRetry retry = ClientRetry::kObey;
  std::vector<std::string> faults;  ///< Names of fleetFaults(), applied in turn.
  std::uint64_t random_seed = 1;
  bool quiet = false;
};

struct FleetRunResult {
  std::vector<LoadRow> rows;
  double retries_per_request = 0;
  Violations violations;
  std::vector<std::string> notes;  ///< What faults and the operator did.
  bool operator_succeeded = false;
  std::vector<std::string> unclean_exits;

  [[nodiscard]] bool kept() const {
    return violations.empty() && operator_succeeded && unclean_exits.empty();
  }
};

/// Names and meanings of the faults that a run can apply.
struct FleetFault {
  std::string name;
  std::string meaning;
};
std::vector<FleetFault> fleetFaults();

/// Runs load, operator and faults on a started fleet, stops it and checks the histories.
FleetRunResult runFleet(Fleet& fleet, const FleetRunOptions& options, std::ostream& progress);

/// The closing table.
void printFleetResult(const FleetRunResult& result, std::ostream& output);

}  // namespace ramppond
