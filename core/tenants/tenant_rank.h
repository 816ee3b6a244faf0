// The rank of a request among all that want the same servers.
//
// The priority of its tenant goes before that of its route. A request without a
// tenant, such as a call of a server, ranks as if sent by the usual tenant: the
// priority that most tenants have. Pure.
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
      this->usual = count > holders[this->usual] ? tenant.priority : this->usual;
    }
    if (this->priorities.empty()) {
      this->priorities.insert(this->usual);
    }
  }

  /// 0 is the most urgent. `tenant` may be nullptr.
  [[nodiscard]] auto of(const TenantDefinition* tenant, std::uint32_t route_priority) const
      -> std::uint32_t {
    return combine(tenant == nullptr ? this->usual : tenant->priority, route_priority);
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
  static constexpr std::uint32_t most_priorities = 1000;

  static auto combine(std::uint32_t tenant, std::uint32_t route) -> std::uint32_t {
    return std::min(tenant, most_priorities - 1) * most_priorities +
           std::min(route, most_priorities - 1);
  }

  std::set<std::uint32_t> priorities;
  std::uint32_t usual = 0;
};

}  // namespace ramppond
