// How the outside world speaks to the forwarding path: header names, calls and documents.
//
// The product decides by its own types; an adapter implements this interface for one platform and
// holds that platform's names and formats. An adapter decides nothing. Implementations are pure and
// may be called from any thread.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/lifecycle/local_server.h"
#include "core/retries/retry_budget.h"
#include "core/tenants/credential.h"
#include "core/tenants/quota_bounds.h"
#include "core/time.h"
#include "core/traffic/traffic_state.h"

namespace ramppond {

/// Names of header fields that requests and answers carry.
struct ExternalHeaders {
  std::string request_id;       ///< Echoed in the answer; reaches the server as the client sent it.
  std::string deadline_ms;      ///< Milliseconds that the sender will wait.
  std::string caller_service;   ///< Set to the service of the machine where a request began.
  std::string expect_instance;  ///< Makes any other instance refuse the request.
  std::string not_run;          ///< In a server's answer: the server did not run the request.
  std::string server_stamp;     ///< In a server's answer.
  std::string base_version;     ///< In a replacement of the traffic configuration.
  std::string credential;       ///< Carries a tenant's key; never reaches a server.
  std::string tenant;           ///< Set to the name of the tenant whose key a request carried.
};

enum class ExternalCallType : std::uint8_t {
  kUnknown = 0,
  kReadiness,       ///< Is this daemon ready for clients?
  kHeartbeat,       ///< A server reports itself.
  kLeave,           ///< A server is about to end.
  kReplaceTraffic,  ///< The operator puts a configuration.
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

/// Limits that a platform sets for the whole deployment. Durations that it does not give keep
/// their defaults.
struct OperatingBounds {
  Duration drain_timeout = seconds(2);  ///< A leaving server takes nothing new after this.
  Duration grace = seconds(6);          ///< From SIGTERM to the end of the process.
  double retry_ratio = 0.2;             ///< Repeats for a service, as a share of its requests.
  shared_repeats retry_extra;           ///< Beyond that share, over all daemons.
  /// A key that was taken away runs nothing that was sent this long after the acknowledgement, on
  /// no machine. Nothing: keys are as new as the configuration that a daemon holds.
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
  [[nodiscard]] virtual ExternalCall classify(std::string_view method,
                                              std::string_view target) const = 0;
  [[nodiscard]] virtual Parsed<ServerHeartbeat> parseHeartbeat(const std::string& instance_id,
                                                               const std::string& body) const = 0;
  [[nodiscard]] virtual Parsed<TrafficReplacement> parseReplacement(
      const std::string& base_version, const std::string& body) const = 0;
  [[nodiscard]] virtual Parsed<ServerLeave> parseLeave(const std::string& instance_id,
                                                       const std::string& body) const = 0;
  /// From texts of the form NAME=VALUE. Names that are not known are passed over.
  [[nodiscard]] virtual Parsed<OperatingBounds> parseBounds(
      const std::vector<std::string>& texts) const = 0;
};

}  // namespace ramppond
