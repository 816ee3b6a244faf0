#include "core/admission/shedding.h"

#include <set>
#include <utility>

namespace ramppond {

auto less_urgent_ranks(std::uint32_t rank, const std::vector<TrafficRoute>& routes,
                       const tenant_ranks& ranks, const call_attribution& calls) -> std::uint32_t {
  auto less_urgent = std::set<std::uint32_t>();
  for (const auto& route : routes) {
    if (!calls.comes_from_clients(route.name)) {
      continue;
    }
    for (const auto other : ranks.all(route.priority)) {
      if (other > rank) {
        less_urgent.insert(other);
      }
    }
  }
  return static_cast<std::uint32_t>(less_urgent.size());
}

auto downstream_overload_of(const std::string& route, const call_attribution& calls,
                            const downstream_overload& overload, TimePoint now)
    -> std::vector<service_overload> {
  auto levels = std::vector<service_overload>();
  for (const auto& call : calls.calls_of(route)) {
    levels = highest_levels(std::move(levels), overload.of(call, now));
  }
  return levels;
}

}  // namespace ramppond
