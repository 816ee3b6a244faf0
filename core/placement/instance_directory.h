// Decides which server of a service the next attempt of a request is sent to.
//
// Input: the records of all servers, the load that answers report, own requests under way, and
// which proxies refused, could not be reached or fell silent (times in microseconds). Output: the
// server with the lowest cost, and which proxies to ping. Owns one KnownInstance for each proxy
// that a record came from. Pure, not thread safe.
//
// A server's cost grows with its utilization and, beyond ordinary differences in speed, with its
// service time for the route. Servers of the own zone are cheaper while they have free slots, since
// bytes between zones have a price. Servers that fail more than others of their service cost more;
// unreachable ones are chosen only if no other is left. Health checks are not used: they cost a
// slot, and a failing server may answer them well.
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

/// The load of a server, as the proxy beside it reports with each answer.
struct ServerLoad {
  std::uint32_t limit = 0;             ///< Requests that the proxy dispatches to it at a time.
  std::uint32_t under_way = 0;         ///< Requests that the server works on.
  std::uint32_t waiting = 0;           ///< Requests that wait for a slot.
  Duration service_time{0};            ///< For requests of the answered route; 0 for unknown.
  std::uint32_t failed_permille = 0;   ///< Share of recent requests failed or left unanswered.
  shed_level shed = {};                ///< Work to keep away from it.
  std::optional<rate_load> rate = {};  ///< If the server names a limit of requests a second.
};

/// A server as the directory knows it. Pointers stay valid for the life of the directory.
struct KnownInstance {
  InstanceRecord record;
  ServerLoad load;
  TimePoint load_reported{0};
  struct ReportedTime {
    Duration time{0};
    TimePoint reported{0};
  };
  std::map<std::string, ReportedTime> service_times;  ///< By route.
  std::uint32_t sent = 0;                             ///< Own requests under way to it.
  std::uint32_t sent_since_report = 0;  ///< Own requests sent since its load was reported.
  std::uint32_t failures = 0;           ///< Connections that failed in a row.
  TimePoint unreachable_until{0};
  TimePoint refused_until{0};  ///< It refused a request lately; others are asked first.
  TimePoint fenced_until{0};   ///< It takes no requests any more, as its proxy answered.
  peer_liveness liveness;      ///< Of its proxy.
  struct NamedRate {
    std::string incarnation;  ///< Of the server that names it.
    rate_load load;
  };
  /// As the server's last answer told. It outlasts a restart of the proxy, which knows nothing of
  /// it then.
  std::optional<NamedRate> named_rate;

  /// Incarnation of which an answer said that it is leaving, whatever its record says.
  std::string leaving_incarnation;

  /// The rate that the server of the record names.
  [[nodiscard]] std::optional<rate_load> rate() const;
};

struct InstanceDirectoryOptions {
  std::string zone;
  std::uint64_t random_seed = 1;
};

class InstanceDirectory {
 public:
  explicit InstanceDirectory(InstanceDirectoryOptions options);

  /// Takes over a record that is newer than the one held. Returns whether the proxy that wrote it
  /// has restarted since: connections to its former process are of no use.
  bool offer(const InstanceRecord& record);
  /// The ready server of `service` with the lowest cost for a request of `route`. Passes over the
  /// proxies in `excluded`; nullptr if no server is left.
  KnownInstance* choose(const std::string& service, const std::string& route,
                        const std::set<std::string>& excluded, TimePoint now);
  /// Number of proxies that a record came from.
  [[nodiscard]] std::size_t size() const { return by_proxy_.size(); }
  /// The proxies beside ready servers of `service`.
  [[nodiscard]] std::vector<std::string> proxiesOf(const std::string& service) const;

  /// A request was sent to it.
  void onSent(KnownInstance& instance, TimePoint now);
  /// A request sent to it has ended in some way.
  void onEnded(KnownInstance& instance);
  /// An answer to a request of `route` reported its load.
  void onLoad(KnownInstance& instance, const std::string& route, const ServerLoad& load,
              TimePoint now);
  /// Its proxy refused a request for lack of room.
  void onRefused(KnownInstance& instance, TimePoint now);
  /// A connection to its proxy failed.
  void onUnreachable(KnownInstance& instance, TimePoint now);
  /// A request sent to it was answered, by the server or by its proxy.
  void onReached(KnownInstance& instance, TimePoint now);
  void onPingAnswered(KnownInstance& instance, TimePoint now);
  struct LivenessChanges {
    std::vector<KnownInstance*> to_ping;  ///< Their proxies are to be pinged.
    std::vector<KnownInstance*> silent;   ///< Their proxies have just become silent.
  };
  /// To be called about every 100 ms. Looks only at proxies with requests under way and at silent
  /// ones.
  LivenessChanges checkLiveness(TimePoint now);
  /// Number of proxies that checkLiveness() looks at.
  [[nodiscard]] std::size_t watched() const { return watched_.size(); }
  /// An answer of `incarnation` there said that it is leaving; it gets nothing more from here, also
  /// when its proxy has started anew and takes it for ready.
  static void onLeaving(KnownInstance& instance, const std::string& incarnation);
  /// Its proxy answered that the server takes no requests any more. It is passed over until a newer
  /// record comes or a second has passed, since the answer may be older than the record held.
  void onFenced(KnownInstance& instance, TimePoint now);

 private:
  void watch(KnownInstance& instance);
  void moveToService(KnownInstance& instance, const std::string& service);
  /// Share of its slots or of the rate that it names in use, whichever is higher, the next request
  /// included; may exceed 1.
  [[nodiscard]] static double utilization(const KnownInstance& instance, TimePoint now);
  [[nodiscard]] static double rateUtilization(const KnownInstance& instance, TimePoint now);
  [[nodiscard]] static bool hasRecentLoad(const KnownInstance& instance, TimePoint now);
  /// Nothing if it was reported too long ago.
  [[nodiscard]] static std::optional<Duration> recentServiceTime(const KnownInstance& instance,
                                                                 const std::string& route,
                                                                 TimePoint now);
  /// What is ordinary among the servers of one service whose load was reported lately.
  struct ServiceBaseline {
    std::optional<Duration> fastest;           ///< The shortest service time.
    std::uint32_t median_failed_permille = 0;  ///< The lower median.
  };
  ServiceBaseline baselineOfCandidates(const std::string& route, TimePoint now);
  /// Service time as a multiple of the fastest server's; 1 if it is not known.
  [[nodiscard]] static double slowness(const KnownInstance& instance, const std::string& route,
                                       const ServiceBaseline& baseline, TimePoint now);
  /// Factor of the cost for what the server fails beyond the median of its service: calls that all
  /// its servers make may fail too.
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
  std::map<std::string, KnownInstance*> watched_;  ///< By address, as by_proxy_.
  std::vector<KnownInstance*> candidates_;  ///< Of the choice being made; a member to reuse memory.
  std::vector<std::uint32_t> failed_;       ///< Thousandths, of the candidates; likewise.
};

}  // namespace ramppond
