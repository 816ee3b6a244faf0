// The traffic configuration: routes, services, tenants and request limits, which operators replace
// as a whole on a base version.
//
// Decides whether a configuration is valid, which route a request takes and which service of the
// route's split serves it. Parsing and printing of an operator's document belong to the adapter of
// its format. Every process that takes a configuration validates it by validateTraffic() only.
// Pure; the data types may be read from any thread.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"

namespace ramppond {

/// How often a route's requests may run.
enum class RequestKind : std::uint8_t {
  kSafe = 0,      ///< May run more than once.
  kUnsafe = 1,    ///< Runs at most once.
  kDownload = 2,  ///< Large answers; may run more than once.
};

/// Whether requests of this kind may run more than once.
inline bool isRetryable(RequestKind kind) {
  return kind != RequestKind::kUnsafe;
}

/// One part of a route's split. Weights are fixed-point, in millionths.
struct WeightedService {
  std::string service;
  std::int64_t weight_millionths = 0;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, service);
    visitor(2, weight_millionths);
  }
};

struct TrafficRoute {
  std::string name;
  std::string host;         ///< Lower case, without a port.
  std::string path_prefix;  ///< Begins and ends with a slash.
  RequestKind kind = RequestKind::kSafe;
  Duration timeout{0};             ///< The longest that a request may be held.
  Duration goal{0};                ///< An answer within this time is in time.
  std::uint32_t priority = 0;      ///< 0 is the most urgent.
  std::uint32_t max_attempts = 1;  ///< Servers that one request may be sent to, at most.
  std::vector<WeightedService> split;
  bool is_public = false;  ///< Requests need no key although there are tenants.

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, name);
    visitor(2, host);
    visitor(3, path_prefix);
    visitor(4, kind);
    visitor(5, timeout);
    visitor(6, goal);
    visitor(7, priority);
    visitor(8, max_attempts);
    visitor(9, split);
    visitor(10, is_public);
  }
};

/// A sender of requests, known by its keys, and how many it may send over all proxies together.
struct TenantDefinition {
  std::string name;
  std::vector<std::string> key_digests;  ///< See core/tenants/key_digest.h.
  /// Counts before the priority of the route. 0 is the most urgent.
  std::uint32_t priority = 0;
  /// Fixed-point, in thousandths of a request per second; 0 for no limit.
  std::uint64_t rate_millis = 0;
  std::uint64_t burst = 0;  ///< Requests at once beyond the rate.

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, name);
    visitor(2, key_digests);
    visitor(3, priority);
    visitor(4, rate_millis);
    visitor(5, burst);
  }
};

struct ServiceDefinition {
  std::string name;
  std::string health_path;
  std::uint32_t max_connections = 0;  ///< Per server, from all callers; 0 for unknown.

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, name);
    visitor(2, health_path);
    visitor(3, max_connections);
  }
};

/// What a client may send, and how long it may take.
struct RequestLimits {
  std::uint64_t max_header_bytes = 16384;
  std::uint64_t max_body_bytes = 64ULL << 20U;
  Duration header_timeout = seconds(5);  ///< For a whole request head.
  Duration idle_timeout = seconds(60);   ///< Of a kept connection.

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, max_header_bytes);
    visitor(2, max_body_bytes);
    visitor(3, header_timeout);
    visitor(4, idle_timeout);
  }
};

struct TrafficConfiguration {
  std::uint64_t number = 0;  ///< The operator's version; 0 before the first.
  std::vector<TrafficRoute> routes;
  std::vector<ServiceDefinition> services;
  RequestLimits limits;
  std::vector<TenantDefinition> tenants;  ///< None: requests need no key.

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, number);
    visitor(2, routes);
    visitor(3, services);
    visitor(4, limits);
    visitor(5, tenants);
  }
};

/// The longest time-out that a route may have.
constexpr Duration kLongestRouteTimeout = std::chrono::minutes(10);
/// A goal must exceed its route's time-out by less than this.
constexpr Duration kGoalAboveTimeout = std::chrono::minutes(1);

/// Why `configuration` may not be put in force: names the entry, the key and what was expected.
/// Nothing if it is valid. Its number is compared to the one in force by ControlState.
std::optional<std::string> validateTraffic(const TrafficConfiguration& configuration);

/// Finds routes by host and longest path prefix. Refers to the configuration it was made from.
class TrafficRoutes {
 public:
  explicit TrafficRoutes(const TrafficConfiguration& configuration);

  /// `host` is a Host header's value (port and case do not matter); `target` a request target,
  /// whose query is ignored. Nothing if no route matches.
  [[nodiscard]] const TrafficRoute* match(std::string_view host, std::string_view target) const;

 private:
  std::map<std::string, std::vector<const TrafficRoute*>> by_host_;  ///< Longest prefix first.
};

/// The service that serves a request on `route`; `draw` is uniform in [0, 1).
const std::string& chooseService(const TrafficRoute& route, double draw);

}  // namespace ramppond
