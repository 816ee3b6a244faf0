// The server beside this proxy: what it reports, its connections, its health and its load.
//
// Owns everything that is known of the server and admission to it; what is known of a former
// incarnation goes when another one reports itself. Relies on an event loop that outlives it, on
// whose thread it is used.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "common/event_log.h"
#include "core/admission/circuit_breaker.h"
#include "core/admission/server_admission.h"
#include "core/admission/service_times.h"
#include "core/lifecycle/local_server.h"
#include "core/placement/instance_directory.h"
#include "core/rate_limit/effective_limit.h"
#include "core/traffic/traffic_configuration.h"
#include "net/stream/event_loop.h"
#include "net/stream/http_client.h"

namespace ramppond {

/// How a request that was handed to admission and dispatched has ended.
struct ended_run {
  std::string route;
  TimePoint begun{0};
  ServerOutcome outcome = ServerOutcome::kAnswered;
  bool sent = true;                // to the server: some of it may have arrived
  bool reused_connection = false;  // to the server; it had rested before
  Duration since_failed_call{0};   // see signal_of() in core/admission/run_outcome.h
};

class own_server {
 public:
  own_server(EventLoop& loop, const HttpClientOptions& connections, Duration draining_admission);

  /// Called when anything that others must know of the server has changed.
  std::function<void()> on_changed;
  /// Called with an incarnation that is gone: its address refuses connections and none stands, or
  /// another one runs there.
  std::function<void(const std::string& incarnation)> on_gone;

  void on_heartbeat(const ServerHeartbeat& heartbeat);
  void on_leave(const ServerLeave& leave);
  /// An answer of `incarnation` to a request that was dispatched at `begun` names this limit.
  void on_named_limit(const std::string& incarnation, const named_limit& named, TimePoint begun);
  /// An answer of `incarnation` says that it is leaving.
  void on_leaving_answer(const std::string& incarnation);
  /// A peer was told this limit by an answer of `incarnation`.
  void on_told_limit(const std::string& incarnation, request_rate told);
  /// The server said that it is another one than `incarnation`.
  void on_wrong_instance(const std::string& incarnation);
  /// The server's address refused a connection meant for `incarnation`. Returns whether other
  /// connections to it stand.
  auto on_connection_refused(const std::string& incarnation) -> bool;
  /// Takes over the connections that each service's servers accept.
  void set_services(const std::vector<ServiceDefinition>& services);

  /// Whether the configuration in force defines `service`.
  [[nodiscard]] auto is_service(const std::string& service) const -> bool;
  /// The fence: whether the server takes requests for `incarnation` of `service`.
  [[nodiscard]] auto fence(const std::string& incarnation, const std::string& service) const
      -> FenceVerdict;
  /// Whether the circuit breaker lets a request go to the server now.
  auto breaker_admits(bool retryable) -> bool;
  /// How long the server takes for requests of `route`; nothing before it has done one.
  [[nodiscard]] auto service_time(const std::string& route) const -> std::optional<Duration>;
  /// A request of `route` was dispatched.
  void on_begun(const std::string& route, TimePoint now);
  /// To be called once for each request that was dispatched.
  void on_ended(const ended_run& run);

  /// A request was refused for the limit that the server names.
  void on_refused_for_rate() { this->beyond_rate += 1; }

  /// The load, as told with the answer to a request of `route`.
  [[nodiscard]] auto load(const std::string& route) const -> ServerLoad;

  /// The limit that the server names at present.
  [[nodiscard]] auto limit() const -> const effective_limit& { return this->named; }
  /// Writes the line `server_limit_use` if the server names a limit at present. To be called with
  /// the counters.
  void log_limit_use() const;

  [[nodiscard]] auto reports() const -> const LocalServer& { return this->server; }
  [[nodiscard]] auto connections() -> HttpClientPool& { return this->pool; }
  [[nodiscard]] auto admission() -> ServerAdmission& { return this->admitted; }

 private:
  void report_change();
  void apply_rate(const std::optional<request_rate>& before);
  void log_unreadable(const std::string& incarnation, const named_limit& named);
  void apply_limits();
  void tell_breaker(const ended_run& run, TimePoint now);

  HttpClientPool pool;
  LocalServer server;
  ServerAdmission admitted;
  service_times times;
  circuit_breaker breaker;
  effective_limit named;
  std::uint64_t dispatched = 0;    // requests, since the start of this proxy
  std::uint64_t beyond_rate = 0;   // refused for the limit, since then
  std::string judged_incarnation;  // that `times`, `breaker` and `named` are about
  DecisionLimit unreadable_log{"server_limit_unreadable"};
  std::vector<ServiceDefinition> services;
};

}  // namespace ramppond
