// The retry budgets of a proxy, one for each service that it sends to.
//
// Owns the budgets and the part of the platform's bounds that each of them may use. Pure, not
// thread safe.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "core/retries/retry_budget.h"

namespace ramppond {

// Of the platform's ratio of retries to first sends. Not every call that a retried run makes is
// known as a retry, and those count as first sends here and as retries there: with a larger part
// the fleet exceeds the ratio, with a smaller one requests fail that a retry would have saved.
constexpr double retry_ratio_used = 0.8;

// Since the start of a proxy. All proxies are known by then: with less, each takes too large a part
// of the retries that they share; with more, it lacks its own after every start.
constexpr auto fleet_discovery_time = seconds(10);

class retry_budgets {
 public:
  /// `platform_ratio` bounds the retries for a service as a share of its first sends. `shared` is
  /// what all proxies together may send beyond that.
  retry_budgets(double platform_ratio, shared_retries shared);

  /// The budget for requests to `service`; made when first needed.
  auto of(const std::string& service) -> retry_budget&;

  /// Gives each budget the part of one of `proxies` in the shared retries. That is nothing until
  /// the fleet is known; `uptime` is counted from the start of this proxy.
  void set_fleet_size(std::size_t proxies, Duration uptime);

 private:
  retry_share ratio;
  shared_retries shared;
  retry_allowance allowance;
  std::map<std::string, retry_budget> budgets;  // by service
};

}  // namespace ramppond
