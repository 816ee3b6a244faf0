// The closing table of a fleet's run.
#include <iomanip>
#include <ostream>

#include "lab/fleet_run.h"

namespace ramppond {

void printFleetResult(const FleetRunResult& result, std::ostream& output) {
  output << '\n'
         << std::left << std::setw(14) << "work" << std::setw(13) << "kind" << std::right
         << std::setw(9) << "offered" << std::setw(11) << "completed" << std::setw(9) << "refused"
         << std::setw(8) << "failed" << std::setw(10) << "p50 ms" << std::setw(10) << "p99 ms"
         << std::setw(7) << "wrong" << '\n';
  for (const LoadRow& row : result.rows) {
    output << std::left << std::setw(14) << row.work << std::setw(13) << row.kind << std::right
           << std::setw(9) << row.offered << std::setw(11) << row.completed << std::setw(9)
           << row.refused << std::setw(8) << row.failed << std::fixed << std::setprecision(1)
           << std::setw(10) << row.percentileMs(50) << std::setw(10) << row.percentileMs(100)
           << std::setw(7) << row.wrong_answers << '\n';
  }
  output << "retries per front request: " << std::setprecision(4) << result.retries_per_request
         << '\n';
  for (const std::string& note : result.notes) {
    output << note << '\n';
  }
  for (const std::string& name : result.unclean_exits) {
    output << "unclean: " << name << '\n';
  }
  for (const Violation& violation : result.violations) {
    output << "BROKEN " << violation.promise << " at " << violation.time_us << " us "
           << violation.nonce << ": " << violation.reason << '\n';
  }
  output << "broken promises: " << result.violations.size() << '\n';
}

}  // namespace ramppond
