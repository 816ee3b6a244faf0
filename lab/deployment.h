// A deployment as the test rig knows it: services, their routes, the work of callers, classes.
// The same file drives real fleets and the simulator; no code knows a deployment's name.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/call_model/planning.h"
#include "core/random.h"
#include "core/time.h"

namespace ramppond {

/// One call that a route makes.
struct RouteCall {
  std::string service;
  std::string path;
  bool repeatable = true;  ///< GET; else POST.
};

/// What a back end does for one path.
struct Route {
  std::string path;
  double work_ms = 1;       ///< Mean of its own time; lognormal.
  double work_sigma = 0.4;  ///< Deviation of the logarithm: the tail.
  std::size_t answer_bytes = 64;
  bool parallel = false;  ///< Whether the calls go out together.
  std::vector<RouteCall> calls;
};

struct ServiceSpec {
  std::string name;
  std::uint32_t servers = 1;
  std::uint32_t slots = 1;
  std::uint32_t connections = 110;  ///< Per server.
  Duration connect_cost{0};         ///< To open a connection.
  std::vector<Route> routes;

  [[nodiscard]] const Route* findRoute(const std::string& path) const;
};

/// One kind of front request and its share of the offered load.
struct WorkSpec {
  WorkType type;
  double share = 1;
  double repeat_share = 0;  ///< Share of requests that the same caller sends again soon.
  Duration deadline{0};
};

struct ClassSpec {
  PriorityClass priority_class;
  double share = 1;  ///< Of the callers.
};

struct Deployment {
  std::string name;
  std::vector<std::string> zones;
  Duration zone_delay{0};    ///< One way, between zones.
  Duration client_delay{0};  ///< One way, from callers.
  std::uint32_t control_members = 3;
  std::uint32_t retry_allowance = kDefaultRetryAllowance;
  std::vector<ServiceSpec> services;
  std::vector<WorkSpec> works;
  std::vector<ClassSpec> classes;

  [[nodiscard]] const ServiceSpec* findService(const std::string& service) const;
  /// Zone of server number `index` of a service: servers are spread over the zones in turn.
  [[nodiscard]] const std::string& zoneOf(std::uint32_t index) const {
    return zones[index % zones.size()];
  }
  /// Slot time in ms that one request of a route takes on each service, in order of `services`.
  [[nodiscard]] std::vector<double> slotMs(const std::string& service,
                                           const std::string& path) const;
  /// Front requests per second, in the given mix, that use up the first service to run out.
  [[nodiscard]] double capacityPerSecond() const;
  /// The service that others call most: deep in every chain.
  [[nodiscard]] std::string mostCalledService() const;
  /// The changes that make the first configuration.
  [[nodiscard]] std::vector<ConfigurationChange> initialChanges() const;
};

/// One of `items`, drawn by its `share_of(item)` of them all; nullptr if there are none.
template <class Item, class ShareOf>
const Item* drawByShare(const std::vector<Item>& items, Random& random, ShareOf share_of) {
  double total = 0;
  for (const Item& item : items) {
    total += share_of(item);
  }
  double point = random.uniform() * total;
  for (const Item& item : items) {
    point -= share_of(item);
    if (point < 0) {
      return &item;
    }
  }
  return items.empty() ? nullptr : &items.back();
}

/// Reads `path`. On an error gives nothing and sets `error`.
std::optional<Deployment> readDeployment(const std::string& path, std::string& error);

}  // namespace ramppond
