// The retry budgets of a proxy, one for each service that it sends requests to.
//
// Owns the budgets and the part of the platform's limits that each of them may use. No I/O; not
// thread safe.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "core/retries/retry_budget.h"

namespace ramppond {

// Used share of the platform's ratio of retries to first sends. Calls of a retried run that are not
// recognized as such count as first sends here and as retries at the platform. With a larger share
// the fleet exceeds the ratio; with a smaller one requests fail that a retry would have saved.
constexpr double retry_ratio_used = 0.8;

// All proxies are known this long after the start of a proxy. With a shorter time each takes too
// large a part of the shared retries; with a longer one it has no part for longer after each start.
constexpr auto fleet_discovery_time = seconds(10);

class retry_budgets {
 public:
  /// `platform_ratio` limits the retries to a service as a share of its first sends. `shared` is
  /// the number that all proxies together may send in addition.
  retry_budgets(double platform_ratio, shared_retries shared);

  /// Returns the budget for requests to `service`, which is created on first use.
  auto of(const std::string& service) -> retry_budget&;

  /// Gives each budget this proxy's part of the retries shared by `proxies` proxies. Ignored until
  /// the fleet is known; `uptime` is counted from the start of this proxy.
  void set_fleet_size(std::size_t proxies, Duration uptime);

 private:
  retry_share ratio;
  shared_retries shared;
  retry_allowance allowance;
  std::map<std::string, retry_budget> budgets;  // by service
};

}  // namespace ramppond
