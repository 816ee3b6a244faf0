// Load balancing: selects the server of a service that the next attempt of a request is sent to.
//
// Input: the records of all servers, the load reported in answers, own requests in flight, and
// which proxies refused requests, were unreachable or became silent (times in microseconds).
// Output: the server with the lowest cost, and the proxies to ping. Owns one KnownInstance for each
// proxy that published a record. No I/O; not thread safe.
//
// The cost of a server grows with its utilization and, beyond ordinary differences in speed, with
// its service time for the route. Servers in the own zone are cheaper while they have free slots,
// since traffic between zones has a price. Servers that fail more requests than others of their
// service cost more. Unreachable servers are chosen only if no other is left. Health checks are not
// used: they take a slot, and a failing server may still pass them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/admission/overload_controller.h"
#include "core/distribution/instance_registry.h"
#include "core/placement/peer_liveness.h"
#include "core/random.h"
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
  std::optional<std::uint32_t> slowdown_percent = {};
};

/// What the directory knows about a server. Pointers stay valid for the lifetime of the directory.
struct KnownInstance {
  InstanceRecord record;
  ServerLoad load;
  TimePoint load_reported{0};
  struct ReportedTime {
    Duration time{0};
    TimePoint reported{0};
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

struct InstanceDirectoryOptions {
  std::string zone;
  std::uint64_t random_seed = 1;
};

class InstanceDirectory {
 public:
  explicit InstanceDirectory(InstanceDirectoryOptions options);

  /// Stores a record that is newer than the one held. Returns whether the proxy that wrote it has
  /// restarted, so that connections to its former process must be dropped.
  bool offer(const InstanceRecord& record);
  /// Returns the available server of `service` with the lowest cost for a request of `route`, or
  /// nullptr if there is none. Skips the proxies in `excluded`.
  KnownInstance* choose(const std::string& service, const std::string& route,
                        const std::set<std::string>& excluded, TimePoint now);
  /// Number of proxies that published a record.
  [[nodiscard]] std::size_t size() const { return by_proxy_.size(); }
  /// Returns the addresses of the proxies beside ready servers of `service`.
  [[nodiscard]] std::vector<std::string> proxiesOf(const std::string& service) const;

  /// Records that a request was sent to the instance.
  void onSent(KnownInstance& instance, TimePoint now);
  /// Records that a request sent to the instance has ended, with any outcome.
  void onEnded(KnownInstance& instance);
  /// Records the load reported with an answer to a request of `route`.
  void onLoad(KnownInstance& instance, const std::string& route, const ServerLoad& load,
              TimePoint now);
  /// Records that the proxy of the instance refused a request for lack of capacity.
  void onRefused(KnownInstance& instance, TimePoint now);
  /// Records that a connection to the proxy of the instance failed.
  void onUnreachable(KnownInstance& instance, TimePoint now);
  /// Records that a request was answered by the server or by its proxy.
  void onReached(KnownInstance& instance, TimePoint now);
  /// Records that the proxy of the instance answered a ping.
  void onPingAnswered(KnownInstance& instance, TimePoint now);
  struct LivenessChanges {
    std::vector<KnownInstance*> to_ping;  ///< Instances whose proxies must be pinged.
    std::vector<KnownInstance*> silent;   ///< Instances whose proxies have just become silent.
  };
  /// Must be called about every 100 ms. Checks only proxies with requests in flight and silent
  /// ones.
  LivenessChanges checkLiveness(TimePoint now);
  /// Number of proxies that checkLiveness() checks.
  [[nodiscard]] std::size_t watched() const { return watched_.size(); }
  /// Records that an answer of `incarnation` reported that it is leaving. The incarnation gets no
  /// more requests, even if its proxy restarts and reports it as ready.
  static void onLeaving(KnownInstance& instance, const std::string& incarnation);
  /// Records that the proxy fenced the server, which accepts no more requests. The server is
  /// skipped until a newer record arrives or a second has passed, since the answer may be older
  /// than the record that is held.
  void onFenced(KnownInstance& instance, TimePoint now);

 private:
  /// Includes the instance in checkLiveness() unless its liveness is idle.
  void watch(KnownInstance& instance);
  void moveToService(KnownInstance& instance, const std::string& service);
  /// Share of the slots or of the named rate in use, whichever is higher. Includes the next request
  /// and may exceed 1.
  [[nodiscard]] static double utilization(const KnownInstance& instance, TimePoint now);
  [[nodiscard]] static double rateUtilization(const KnownInstance& instance, TimePoint now);
  [[nodiscard]] static bool hasRecentLoad(const KnownInstance& instance, TimePoint now);
  /// std::nullopt if the service time was never reported or too long ago.
  [[nodiscard]] static std::optional<Duration> recentServiceTime(const KnownInstance& instance,
                                                                 const std::string& route,
                                                                 TimePoint now);
  /// Reference values of the servers of one service with a recent load report.
  struct ServiceBaseline {
    std::optional<Duration> fastest;           ///< Shortest service time.
    std::uint32_t median_failed_permille = 0;  ///< Lower median.
  };
  ServiceBaseline baselineOfCandidates(const std::string& route, TimePoint now);
  /// Service time as a multiple of the fastest server's; 1 if unknown.
  [[nodiscard]] static double slowness(const KnownInstance& instance, const std::string& route,
                                       const ServiceBaseline& baseline, TimePoint now);
  /// Cost factor for the share of failed requests above the median of the service. The median
  /// excludes failures that are common to all servers, such as failures of calls that they make.
  [[nodiscard]] static double failureFactor(const KnownInstance& instance,
                                            const ServiceBaseline& baseline, TimePoint now);
  double cost(const KnownInstance& instance, const std::string& route,
              const ServiceBaseline& baseline, TimePoint now);
  [[nodiscard]] bool usable(const KnownInstance& instance, const std::string& service,
                            const std::set<std::string>& excluded, TimePoint now) const;

  InstanceDirectoryOptions options_;
  Random random_;
  std::map<std::string, KnownInstance> by_proxy_;  ///< By the address of the proxy.
  std::map<std::string, std::vector<KnownInstance*>> by_service_;
  std::map<std::string, KnownInstance*> watched_;  ///< By the address of the proxy.
  // Members only to reuse their memory:
  std::vector<KnownInstance*> candidates_;  ///< Of the current choose().
  std::vector<std::uint32_t> failed_;       ///< Failed shares of the candidates, in thousandths.
};

}  // namespace ramppond
