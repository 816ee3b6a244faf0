// Decides the rank of a request among all that want the same servers.
//
// Input: the request's tenant and the priority of its route. Output: a rank, 0 the most urgent; the
// tenant's priority counts before the route's. A request without a tenant, such as a call of a
// server, ranks as if its tenant had the priority that most tenants have. Owns the priorities in
// use. Pure; any thread may read.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "core/traffic/traffic_configuration.h"

namespace ramppond {

class tenant_ranks {
 public:
  explicit tenant_ranks(const std::vector<TenantDefinition>& tenants) {
    auto holders = std::map<std::uint32_t, std::size_t>();
    for (const auto& tenant : tenants) {
      const auto count = ++holders[tenant.priority];
      this->priorities.insert(tenant.priority);
      this->most_common = count > holders[this->most_common] ? tenant.priority : this->most_common;
    }
    if (this->priorities.empty()) {
      this->priorities.insert(this->most_common);
    }
  }

  /// 0 is the most urgent. `tenant` may be nullptr.
  [[nodiscard]] auto of(const TenantDefinition* tenant, std::uint32_t route_priority) const
      -> std::uint32_t {
    return combine(tenant == nullptr ? this->most_common : tenant->priority, route_priority);
  }

  /// The ranks that requests to a route of this priority may have.
  [[nodiscard]] auto all(std::uint32_t route_priority) const -> std::vector<std::uint32_t> {
    auto ranks = std::vector<std::uint32_t>();
    for (const auto priority : this->priorities) {
      ranks.push_back(combine(priority, route_priority));
    }
    return ranks;
  }

 private:
  // Larger priorities count as the largest.
  static constexpr std::uint32_t priority_count = 1000;

  static auto combine(std::uint32_t tenant, std::uint32_t route) -> std::uint32_t {
    return std::min(tenant, priority_count - 1) * priority_count +
           std::min(route, priority_count - 1);
  }

  std::set<std::uint32_t> priorities;
  std::uint32_t most_common = 0;  // priority of tenants
};

}  // namespace ramppond
