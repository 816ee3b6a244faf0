// Interface to the platform that the software runs on: its header names, API calls and documents.
//
// An adapter implements it and translates the platform's names and formats into the types of core/.
// It makes no decisions, and no other source knows those names. Implementations are stateless and
// may be called from any thread.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/admission/server_load_report.h"
#include "core/lifecycle/local_server.h"
#include "core/rate_limit/request_rate.h"
#include "core/retries/retry_budget.h"
#include "core/tenants/credential.h"
#include "core/tenants/quota_bounds.h"
#include "core/time.h"
#include "core/traffic/traffic_state.h"

namespace ramppond {

/// Names of the header fields of requests and answers.
struct ExternalHeaders {
  std::string request_id;       ///< Echoed in the answer; forwarded to the server unchanged.
  std::string deadline_ms;      ///< Time in milliseconds that the sender waits for the answer.
  std::string caller_service;   ///< Set to the service of the server beside the first proxy.
  std::string expect_instance;  ///< All other incarnations of the server refuse the request.
  std::string not_run;          ///< In a server's answer: the server did not run the request.
  std::string server_stamp;     ///< In a server's answer.
  std::string base_version;     ///< In a replacement of the traffic configuration.
  std::string credential;       ///< Holds a tenant's key; not forwarded to the server.
  std::string tenant;           ///< Set to the name of the tenant that holds the request's key.
  std::string server_limit;     ///< In a server's answer: requests per second that it accepts.
  std::string server_leaving;   ///< In a server's answer: the server is about to stop.
  std::string server_load;      ///< In a server's answer: its load and its machine's slowdown.
};

enum class ExternalCallType : std::uint8_t {
  kUnknown = 0,
  kReadiness,       ///< Asks whether this proxy is ready for clients.
  kHeartbeat,       ///< A server reports its state.
  kLeave,           ///< A server is about to stop.
  kReplaceTraffic,  ///< The operator replaces the configuration.
  kReadTraffic,     ///< The operator reads the latest configuration.
};

struct ExternalCall {
  ExternalCallType type = ExternalCallType::kUnknown;
  std::string instance_id;  ///< For kHeartbeat and kLeave.
};

/// A parsed document, or the reason why parsing failed.
template <class T>
struct Parsed {
  std::optional<T> value;
  std::string error;  ///< Names the position, the key and what was expected.
};

/// Limits that the platform sets for the whole deployment. Limits that it does not set keep their
/// defaults.
struct OperatingBounds {
  Duration drain_timeout = seconds(2);  ///< After this a leaving server accepts no new requests.
  Duration grace = seconds(6);          ///< From SIGTERM to the end of the process.
  double retry_ratio = 0.2;    ///< Maximum retries to a service as a share of its requests.
  shared_retries retry_extra;  ///< Additional retries, over all proxies.
  /// Time after the acknowledged removal of a key from which on no request sent with that key runs
  /// anywhere. Without it, keys are only as current as the configuration that a proxy holds.
  std::optional<Duration> revocation;
  QuotaBounds quota;
};

class ExternalApi {
 public:
  virtual ~ExternalApi() = default;
  [[nodiscard]] virtual const ExternalHeaders& headers() const = 0;
  /// Parses the values of all fields named headers().credential.
  [[nodiscard]] virtual Credential parseCredential(
      const std::vector<std::string>& values) const = 0;
  /// Parses the values of all fields named headers().server_limit.
  [[nodiscard]] virtual named_limit parseLimit(const std::vector<std::string>& values) const = 0;
  /// Parses the values of all fields named headers().server_leaving.
  [[nodiscard]] virtual bool parseLeaving(const std::vector<std::string>& values) const = 0;
  /// Parses the values of all fields named headers().server_load.
  [[nodiscard]] virtual named_server_load parseServerLoad(
      const std::vector<std::string>& values) const = 0;
  [[nodiscard]] virtual ExternalCall classify(std::string_view method,
                                              std::string_view target) const = 0;
  [[nodiscard]] virtual Parsed<ServerHeartbeat> parseHeartbeat(const std::string& instance_id,
                                                               const std::string& body) const = 0;
  [[nodiscard]] virtual Parsed<TrafficReplacement> parseReplacement(
      const std::string& base_version, const std::string& body) const = 0;
  [[nodiscard]] virtual Parsed<ServerLeave> parseLeave(const std::string& instance_id,
                                                       const std::string& body) const = 0;
  /// Parses texts of the form NAME=VALUE. Unknown names are ignored.
  [[nodiscard]] virtual Parsed<OperatingBounds> parseBounds(
      const std::vector<std::string>& texts) const = 0;
};

}  // namespace ramppond
