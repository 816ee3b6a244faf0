#include "core/retries/retry_budgets.h"

#include <utility>

namespace ramppond {

retry_budgets::retry_budgets(double platform_ratio, shared_retries shared)
    : ratio{platform_ratio * retry_ratio_used}, shared(shared) {}

auto retry_budgets::of(const std::string& service) -> retry_budget& {
  const auto found = this->budgets.find(service);
  if (found != this->budgets.end()) {
    return found->second;
  }
  auto budget = retry_budget(this->ratio, this->shared.window);
  budget.set_allowance(this->allowance);
  return this->budgets.emplace(service, std::move(budget)).first->second;
}

void retry_budgets::set_fleet_size(std::size_t proxies, Duration uptime) {
  if (uptime < fleet_discovery_time) {
    return;
  }
  this->allowance = allowance_per_proxy(this->shared, proxies);
  for (auto& [service, budget] : this->budgets) {
    budget.set_allowance(this->allowance);
  }
}

}  // namespace ramppond
