// The traffic configuration: routes, services, tenants and request limits. Operators replace it as
// a whole, based on an earlier version.
//
// Validates configurations, selects the route of a request and the service of the route's split
// that serves it. The adapter of a document format parses and prints the operator's document. Every
// process that accepts a configuration validates it with validateTraffic(); the process that takes
// it from an operator uses validateNewTraffic(). No I/O; the data types may be read from any
// thread.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"

namespace ramppond {

/// Whether a route's requests may run more than once.
enum class RequestKind : std::uint8_t {
  kSafe = 0,      ///< May run more than once.
  kUnsafe = 1,    ///< Runs at most once.
  kDownload = 2,  ///< Has large answers; may run more than once.
  kUpload = 3,    ///< Has large request bodies; runs at most once.
};

/// Whether requests of this kind may run more than once.
inline bool isRetryable(RequestKind kind) {
  return kind != RequestKind::kUnsafe && kind != RequestKind::kUpload;
}

/// A service in a route's split, with its weight in millionths (fixed-point).
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
  Duration timeout{0};             ///< Maximum time that a request may take.
  Duration goal{0};                ///< Target for the response time.
  std::uint32_t priority = 0;      ///< 0 is the most urgent.
  std::uint32_t max_attempts = 1;  ///< Maximum number of servers per request.
  std::vector<WeightedService> split;
  bool is_public = false;  ///< Requests need no key even if there are tenants.

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

/// A sender of requests, identified by its keys, and its rate limit over all proxies together.
struct TenantDefinition {
  std::string name;
  std::vector<std::string> key_digests;  ///< See core/tenants/key_digest.h.
  /// Takes precedence over the priority of the route. 0 is the most urgent.
  std::uint32_t priority = 0;
  /// Rate limit in thousandths of a request per second (fixed-point); 0 for no limit.
  std::uint64_t rate_millis = 0;
  std::uint64_t burst = 0;  ///< Requests beyond the rate that may be sent at once.

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

/// Limits on the size of client requests and on the time to send them.
struct RequestLimits {
  std::uint64_t max_header_bytes = 16384;
  std::uint64_t max_body_bytes = 64ULL << 20U;
  Duration header_timeout = seconds(5);  ///< To receive a complete request head.
  Duration idle_timeout = seconds(60);   ///< Of a keep-alive connection.

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, max_header_bytes);
    visitor(2, max_body_bytes);
    visitor(3, header_timeout);
    visitor(4, idle_timeout);
  }
};

struct TrafficConfiguration {
  std::uint64_t number = 0;  ///< Version given by the operator; 0 before the first one.
  std::vector<TrafficRoute> routes;
  std::vector<ServiceDefinition> services;
  RequestLimits limits;
  std::vector<TenantDefinition> tenants;  ///< If empty, requests need no key.

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(1, number);
    visitor(2, routes);
    visitor(3, services);
    visitor(4, limits);
    visitor(5, tenants);
  }
};

/// Maximum timeout of a route.
constexpr Duration kMaxRouteTimeout = std::chrono::minutes(10);
/// A route's goal must exceed its timeout by less than this.
constexpr Duration kMaxGoalAboveTimeout = std::chrono::minutes(1);

/// Validates `configuration`. Returns std::nullopt if it is valid, otherwise an error that names
/// the entry, the key and what was expected. Does not check the number, which ControlState compares
/// with the one in force.
std::optional<std::string> validateTraffic(const TrafficConfiguration& configuration);

/// Validates a configuration that an operator sends: validateTraffic(), and whether its names can
/// be sent in header fields and come out as they went in. Configurations that are already in a
/// log are not checked for this, so that every version applies the same log alike.
std::optional<std::string> validateNewTraffic(const TrafficConfiguration& configuration);

/// Finds routes by host and longest path prefix. Refers to the configuration that it was built
/// from, which must outlive it.
class TrafficRoutes {
 public:
  explicit TrafficRoutes(const TrafficConfiguration& configuration);

  /// Returns the route of a request, or nullptr if none matches. `host` is the value of the Host
  /// header, whose port and case are ignored; `target` is the request target, whose query is
  /// ignored.
  [[nodiscard]] const TrafficRoute* match(std::string_view host, std::string_view target) const;

 private:
  std::map<std::string, std::vector<const TrafficRoute*>> by_host_;  ///< Longest prefix first.
};

/// Selects the service for a request on `route` by weight; `draw` is uniform in [0, 1).
const std::string& chooseService(const TrafficRoute& route, double draw);

}  // namespace ramppond
