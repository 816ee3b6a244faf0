// The local server, which runs beside this proxy: its reports, connections, health and load.
//
// Owns the server's state and the admission of requests to it. State of a former incarnation is
// dropped when another one reports itself. Relies on an event loop that outlives it and on whose
// thread it is used.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "common/event_log.h"
#include "core/admission/circuit_breaker.h"
#include "core/admission/machine_slowdown.h"
#include "core/admission/server_admission.h"
#include "core/admission/service_times.h"
#include "core/lifecycle/local_server.h"
#include "core/placement/instance_directory.h"
#include "core/rate_limit/effective_limit.h"
#include "core/traffic/traffic_configuration.h"
#include "net/stream/event_loop.h"
#include "net/stream/http_client.h"

namespace ramppond {

/// The end of a request that was admitted and dispatched.
struct ended_run {
  std::string route;
  TimePoint begun{0};
  ServerOutcome outcome = ServerOutcome::kAnswered;
  bool sent = true;                // sent to the server, which may have received part of it
  bool reused_connection = false;  // a previously idle connection to the server was used
  Duration since_failed_call{0};   // see signal_of() in core/admission/run_outcome.h
  std::optional<TimePoint> begun_work = std::nullopt;  // `begun` by machine_slowdown::work_clock()
  AdmissionId id = 0;
};

class own_server {
 public:
  own_server(EventLoop& loop, const HttpClientOptions& connections, Duration draining_admission);

  /// Called when state of the server that other proxies must know of has changed.
  std::function<void()> on_changed;
  /// Called with an incarnation that is gone: its address refuses connections and none is open, or
  /// another incarnation runs there.
  std::function<void(const std::string& incarnation)> on_gone;

  /// Called with each departure that a report or an answer of the server has announced.
  std::function<void(const server_departure& departure)> on_departure;

  void on_heartbeat(const ServerHeartbeat& heartbeat);
  void on_leave(const ServerLeave& leave);
  /// Applies the departures that a former process of this proxy has acknowledged.
  void restore(const departure_batch& acknowledged);
  /// An answer of `incarnation` to a request dispatched at `begun` announced a rate limit.
  void on_announced_limit(const std::string& incarnation, const named_limit& answered,
                          TimePoint begun);
  /// An answer of `incarnation` announced that it is leaving.
  void on_leaving_answer(const std::string& incarnation);
  /// A peer reports the rate limit that an answer of `incarnation` announced to it.
  void on_limit_from_peer(const std::string& incarnation, request_rate reported);
  /// The server reported that it is not `incarnation`.
  void on_wrong_instance(const std::string& incarnation);
  /// The server's address refused a connection meant for `incarnation`. Returns whether other
  /// connections to it are open.
  auto on_connection_refused(const std::string& incarnation) -> bool;
  /// Sets the services and the maximum number of connections that their servers accept.
  void set_services(const std::vector<ServiceDefinition>& services);

  /// Whether the configuration in force defines `service`.
  [[nodiscard]] auto is_service(const std::string& service) const -> bool;
  /// The fence: whether the server accepts requests for `incarnation` of `service`.
  [[nodiscard]] auto fence(const std::string& incarnation, const std::string& service) const
      -> FenceVerdict;
  /// Whether the circuit breaker admits a request now.
  auto breaker_admits(bool retryable, TimePoint now = EventLoop::now()) -> bool;
  /// A request that the circuit breaker admitted at `admitted_at` was refused or has left before it
  /// was dispatched.
  void on_not_dispatched(TimePoint admitted_at) { this->breaker.on_not_sent(admitted_at); }
  /// The service time of requests of `route` at usual speed; std::nullopt before the first one has
  /// completed.
  [[nodiscard]] auto service_time(const std::string& route) const -> std::optional<Duration>;
  /// A request of `route` was dispatched.
  void on_dispatched(const std::string& route, TimePoint now);
  /// Must be called once for each dispatched request.
  void on_ended(const ended_run& run);

  /// A message of `incarnation` carried this report on its load.
  void on_load_report(const std::string& incarnation, const named_server_load& reported);
  /// Slowdown of the server's machine.
  [[nodiscard]] auto slowdown() -> machine_slowdown& { return this->machine; }
  /// Health path of the server's service; empty if none is configured, or if the server accepts no
  /// connection beyond those of the requests in flight.
  [[nodiscard]] auto health_path() const -> std::string;

  /// A request was refused because of the announced rate limit.
  void on_refused_for_rate() { this->refused_for_rate += 1; }

  /// The load to report with the answer to a request of `route`.
  [[nodiscard]] auto load(const std::string& route) const -> ServerLoad;

  /// The rate limit that the server currently announces.
  [[nodiscard]] auto limit() const -> const effective_limit& { return this->announced_limit; }
  /// Logs the event `server_limit_use` if the server currently announces a rate limit. Call
  /// whenever the counters are logged.
  void log_limit_use() const;
  /// Logs the event `fair_shares` if fair shares are active and some caller exceeds its share. Call
  /// once a second.
  void log_fair_shares();

  [[nodiscard]] auto reports() const -> const LocalServer& { return this->server; }
  [[nodiscard]] auto connections() -> HttpClientPool& { return this->pool; }
  [[nodiscard]] auto admission() -> ServerAdmission& { return this->admission_control; }

 private:
  void report_departures();
  void on_server_changed();
  void apply_rate(const std::optional<request_rate>& before);
  void log_unreadable(const std::string& incarnation, const named_limit& answered);
  void apply_limits();
  /// The configured service of the server; nullptr if none is configured.
  [[nodiscard]] auto service() const -> const ServiceDefinition*;
  void update_breaker(const ended_run& run, TimePoint now);

  HttpClientPool pool;
  LocalServer server;
  ServerAdmission admission_control;
  service_times service_durations;
  circuit_breaker breaker;
  effective_limit announced_limit;
  machine_slowdown machine;
  std::uint64_t dispatched = 0;          // requests since the start of this proxy
  std::uint64_t refused_for_rate = 0;    // requests refused for the announced limit since then
  std::string tracked_incarnation;       // of service_durations, breaker, limit and machine
  std::uint64_t refused_for_others = 0;  // as logged last
  DecisionLimit unreadable_log{"server_limit_unreadable"};
  std::vector<ServiceDefinition> services;
};

}  // namespace ramppond
