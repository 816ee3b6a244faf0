// Computes the rank of a request among the requests that compete for the same servers.
//
// Input: the tenant of the request and the priority of its route. Output: a rank, 0 being the most
// urgent. Ranks compare by tenant priority first and route priority second. A request without a
// tenant, such as a call made by a server, gets the most common tenant priority. Owns the set of
// priorities in use. Immutable; safe to read from any thread.
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

  /// Returns the rank of a request; 0 is the most urgent. `tenant` may be nullptr.
  [[nodiscard]] auto of(const TenantDefinition* tenant, std::uint32_t route_priority) const
      -> std::uint32_t {
    return combine(tenant == nullptr ? this->most_common : tenant->priority, route_priority);
  }

  /// Returns all ranks that requests to a route of this priority can have.
  [[nodiscard]] auto all(std::uint32_t route_priority) const -> std::vector<std::uint32_t> {
    auto ranks = std::vector<std::uint32_t>();
    for (const auto priority : this->priorities) {
      ranks.push_back(combine(priority, route_priority));
    }
    return ranks;
  }

 private:
  // Larger priorities are treated as priority_count - 1.
  static constexpr std::uint32_t priority_count = 1000;

  static auto combine(std::uint32_t tenant, std::uint32_t route) -> std::uint32_t {
    return std::min(tenant, priority_count - 1) * priority_count +
           std::min(route, priority_count - 1);
  }

  std::set<std::uint32_t> priorities;
  std::uint32_t most_common = 0;  // tenant priority
};

}  // namespace ramppond
