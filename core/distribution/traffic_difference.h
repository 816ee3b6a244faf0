// Encodes a traffic configuration as the difference from an earlier one.
//
// Most changes affect a few of hundreds of routes. A difference then takes some hundred bytes per
// proxy and change, while a full configuration takes tens of kilobytes. apply() checks the digest
// of the result; if it does not match, the caller requests the full configuration. Stateless; may
// be called from any thread.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/traffic/traffic_configuration.h"

namespace ramppond {

/// Part of a list: either `count` entries of the earlier list starting at `first`, or new entries.
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
  std::uint64_t digest = 0;  ///< XXH3-64 of the resulting encoded configuration.

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

/// Returns the difference from `earlier`, which has log index `base_index`, to `later`. The order
/// of entries is preserved.
auto difference_of(std::uint64_t base_index, const TrafficConfiguration& earlier,
                   const TrafficConfiguration& later) -> traffic_difference;

/// Returns the resulting configuration, or std::nullopt if `difference` does not apply to
/// `earlier`.
auto apply(const traffic_difference& difference, const TrafficConfiguration& earlier)
    -> std::optional<TrafficConfiguration>;

}  // namespace ramppond
