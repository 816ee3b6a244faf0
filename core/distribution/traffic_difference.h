// A traffic configuration as its difference from an earlier one.
//
// Most changes touch a few of hundreds of routes, so the difference is some hundred bytes where the
// whole is tens of kilobytes, for every proxy and change. apply() checks the digest of the result;
// if it does not fit, the caller asks for the whole. Pure; any thread.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/traffic/traffic_configuration.h"

namespace ramppond {

/// Entries of a list: either `count` of the earlier list from `first` on, or new ones.
template <class Entry>
struct list_part {
  std::uint64_t first = 0;
  std::uint64_t count = 0;
  std::vector<Entry> added;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, first);
    visitor(2, count);
    visitor(3, added);
  }
};

struct traffic_difference {
  std::uint64_t base_index = 0;  ///< Log index of the earlier configuration.
  std::uint64_t number = 0;
  std::vector<list_part<TrafficRoute>> routes;
  std::vector<list_part<ServiceDefinition>> services;
  std::vector<list_part<TenantDefinition>> tenants;
  RequestLimits limits;
  std::uint64_t digest = 0;  ///< XXH3-64 of the encoded configuration that results.

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, base_index);
    visitor(2, number);
    visitor(3, routes);
    visitor(4, services);
    visitor(5, tenants);
    visitor(6, limits);
    visitor(7, digest);
  }
};

/// What leads from `earlier`, which is at `base_index`, to `later`. Entries keep their order.
auto difference_of(std::uint64_t base_index, const TrafficConfiguration& earlier,
                   const TrafficConfiguration& later) -> traffic_difference;

/// The configuration that results, or nothing if `difference` does not fit `earlier`.
auto apply(const traffic_difference& difference, const TrafficConfiguration& earlier)
    -> std::optional<TrafficConfiguration>;

}  // namespace ramppond
