// What a proxy knows about the server beside another proxy: its record, the load reported in
// answers, own requests in flight and past failures.
//
// Data only: core/placement/instance_directory.h writes it, the placement policies read it. Times
// in microseconds. Not thread safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/admission/overload_controller.h"
#include "core/distribution/instance_registry.h"
#include "core/placement/peer_liveness.h"
#include "core/rate_limit/request_rate.h"
#include "core/time.h"

namespace ramppond {

/// The load of a server, which the proxy beside it reports with each answer.
struct ServerLoad {
  std::uint32_t limit = 0;             ///< Maximum number of requests in flight at the server.
  std::uint32_t under_way = 0;         ///< Requests in flight at the server.
  std::uint32_t waiting = 0;           ///< Requests that wait for a slot.
  Duration service_time{0};            ///< For the route of the answered request; 0 for unknown.
  std::uint32_t failed_permille = 0;   ///< Share of recent requests that failed or got no answer.
  shed_level shed = {};                ///< Work to shed for the server.
  std::optional<rate_load> rate = {};  ///< Set if the server names a rate limit.
  /// Present duration of work on its machine in percent of the usual duration, if known.
  /// `service_time` includes it.
  std::optional<std::uint32_t> slowdown_percent = {};
};

/// What the directory knows about a server. Pointers stay valid for the lifetime of the directory.
struct KnownInstance {
  InstanceRecord record;
  ServerLoad load;
  TimePoint load_reported{0};
  /// Factor on the usual service time, as reported at `load_reported` and clamped; unknown if not
  /// reported then.
  std::optional<double> slowdown;
  /// When a load query to it was last planned. Initially so long ago that one may be planned at
  /// once.
  TimePoint load_queried = -seconds(1);
  struct ReportedTime {
    Duration time{0};
    TimePoint reported{0};
    double slowdown = 1;  ///< Factor that `time` includes.
  };
  std::map<std::string, ReportedTime> service_times;  ///< By route.
  std::uint32_t sent = 0;                             ///< Own requests in flight to it.
  std::uint32_t sent_since_report = 0;  ///< Own requests sent since its load was reported.
  std::uint32_t failures = 0;           ///< Consecutive failed connections.
  TimePoint unreachable_until{0};
  TimePoint refused_until{0};  ///< Until then others are preferred, since it refused a request.
  TimePoint fenced_until{0};   ///< Until then it is skipped, since its proxy fenced it.
  peer_liveness liveness;      ///< Of its proxy.
  struct NamedRate {
    std::string incarnation;  ///< Of the server that named the rate.
    rate_load load;
  };
  /// The rate in the server's last answer. Kept over a restart of the proxy, which loses it.
  std::optional<NamedRate> named_rate;

  /// Incarnation that an answer reported as leaving. Takes precedence over the state in `record`.
  std::string leaving_incarnation;

  /// The rate that the current server of the record names, if any.
  [[nodiscard]] std::optional<rate_load> rate() const;
};

}  // namespace ramppond
