// The interface to one platform: header names, calls and documents of the outside world.
//
// An adapter implements it, translates the platform's names and formats into the types of core/ and
// decides nothing; no other source knows those names. Implementations are pure and may be called
// from any thread.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/lifecycle/local_server.h"
#include "core/rate_limit/request_rate.h"
#include "core/retries/retry_budget.h"
#include "core/tenants/credential.h"
#include "core/tenants/quota_bounds.h"
#include "core/time.h"
#include "core/traffic/traffic_state.h"

namespace ramppond {

/// Names of header fields that requests and answers carry.
struct ExternalHeaders {
  std::string request_id;       ///< Echoed in the answer; reaches the server as the client sent it.
  std::string deadline_ms;      ///< Milliseconds that the sender waits for the answer.
  std::string caller_service;   ///< Set to the service of the server beside the first proxy.
  std::string expect_instance;  ///< Any other incarnation of a server refuses the request.
  std::string not_run;          ///< In a server's answer: the server did not run the request.
  std::string server_stamp;     ///< In a server's answer.
  std::string base_version;     ///< In a replacement of the traffic configuration.
  std::string credential;       ///< Holds a tenant's key; removed before the server.
  std::string tenant;           ///< Set to the name of the tenant whose key a request carried.
  std::string server_limit;     ///< In a server's answer: requests a second that it takes.
  std::string server_leaving;   ///< In a server's answer: it is about to end.
};

enum class ExternalCallType : std::uint8_t {
  kUnknown = 0,
  kReadiness,       ///< Is this proxy ready for clients?
  kHeartbeat,       ///< A server reports its state.
  kLeave,           ///< A server is about to end.
  kReplaceTraffic,  ///< The operator replaces the configuration.
  kReadTraffic,     ///< The operator reads the newest configuration.
};

struct ExternalCall {
  ExternalCallType type = ExternalCallType::kUnknown;
  std::string instance_id;  ///< kHeartbeat, kLeave.
};

/// A parsed document, or why it could not be read.
template <class T>
struct Parsed {
  std::optional<T> value;
  std::string error;  ///< Names the place, the key and what was expected.
};

/// Limits that a platform sets for the whole deployment. Those that it does not give keep their
/// defaults.
struct OperatingBounds {
  Duration drain_timeout = seconds(2);  ///< A leaving server takes nothing new after this.
  Duration grace = seconds(6);          ///< From SIGTERM to the end of the process.
  double retry_ratio = 0.2;             ///< Retries to a service, as a share of its requests.
  shared_retries retry_extra;           ///< Beyond that share, over all proxies.
  /// After a key's removal is acknowledged, requests that are sent this much later with it run on
  /// no machine. Nothing: keys are as new as the configuration that a proxy holds.
  std::optional<Duration> revocation;
  QuotaBounds quota;
};

class ExternalApi {
 public:
  virtual ~ExternalApi() = default;
  [[nodiscard]] virtual const ExternalHeaders& headers() const = 0;
  /// From the values of all fields named headers().credential.
  [[nodiscard]] virtual Credential parseCredential(
      const std::vector<std::string>& values) const = 0;
  /// From the values of all fields named headers().server_limit.
  [[nodiscard]] virtual named_limit parseLimit(const std::vector<std::string>& values) const = 0;
  /// From the values of all fields named headers().server_leaving.
  [[nodiscard]] virtual bool parseLeaving(const std::vector<std::string>& values) const = 0;
  [[nodiscard]] virtual ExternalCall classify(std::string_view method,
                                              std::string_view target) const = 0;
  [[nodiscard]] virtual Parsed<ServerHeartbeat> parseHeartbeat(const std::string& instance_id,
                                                               const std::string& body) const = 0;
  [[nodiscard]] virtual Parsed<TrafficReplacement> parseReplacement(
      const std::string& base_version, const std::string& body) const = 0;
  [[nodiscard]] virtual Parsed<ServerLeave> parseLeave(const std::string& instance_id,
                                                       const std::string& body) const = 0;
  /// From texts of the form NAME=VALUE; unknown names are ignored.
  [[nodiscard]] virtual Parsed<OperatingBounds> parseBounds(
      const std::vector<std::string>& texts) const = 0;
};

}  // namespace ramppond
