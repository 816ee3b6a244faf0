// Placement policy: selects the server with the lowest cost by slots in use.
//
// Input: the candidates of one service with their reported load (core/placement/reported_load.h),
// route, time (microseconds). Output: one candidate. Owns a random number generator for ties. No
// I/O; not thread safe.
//
// The cost of a server grows with its utilization and, beyond ordinary differences in speed, with
// its service time for the route. Servers in the own zone are cheaper while they have free slots,
// since traffic between zones has a price. Servers that fail more requests than others of their
// service cost more. Unreachable servers are chosen only if no other is left.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/placement/known_instance.h"
#include "core/placement/placement_request.h"
#include "core/random.h"
#include "core/time.h"

namespace ramppond {

class utilization_cost {
 public:
  utilization_cost(std::string zone, std::uint64_t random_seed)
      : zone(std::move(zone)), random(random_seed) {}

  /// Returns the candidate with the lowest cost; nullptr if there is none.
  auto choose(const std::vector<KnownInstance*>& candidates, const placement_request& request)
      -> KnownInstance*;

 private:
  /// Reference values of the candidates with a recent load report.
  struct service_baseline {
    std::optional<Duration> fastest;  // shortest service time
    std::uint32_t median_failed_permille = 0;
  };

  auto baseline_of(const std::vector<KnownInstance*>& candidates, const std::string& route,
                   TimePoint now) -> service_baseline;
  auto cost(const KnownInstance& instance, const std::string& route,
            const service_baseline& baseline, TimePoint now) -> double;

  std::string zone;
  Random random;
  std::vector<std::uint32_t> failed;  // memory for median_failed_permille()
};

}  // namespace ramppond
