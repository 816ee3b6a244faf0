// The servers that a daemon may send requests to, and the choice among them.
//
// Knows what the registry tells, what answers tell of each server's load, and which daemons could
// not be reached. Each server has a cost that grows with its utilization and, beyond the ordinary
// difference in speed, with its service time; the own zone has a rebate while it has room, since
// bytes between zones cost. The cheapest is taken. Pure, not thread safe.
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
#include "core/time.h"

namespace ramppond {

/// What the daemon beside a server tells of its load with each answer.
struct ServerLoad {
  std::uint32_t limit = 0;      ///< Requests that it lets the server work on at a time.
  std::uint32_t under_way = 0;  ///< Requests that the server works on.
  std::uint32_t waiting = 0;
  Duration service_time{0};           ///< For requests of the route that asked; 0 for unknown.
  std::uint32_t failed_permille = 0;  ///< Recent requests that it failed or left unanswered.
  shed_level shed = {};               ///< How much less work is to be begun for it.
};

/// A server as the directory knows it. Pointers stay valid for the life of the directory.
struct KnownInstance {
  InstanceRecord record;
  ServerLoad load;
  TimePoint load_told{0};
  struct ToldTime {
    Duration time{0};
    TimePoint told{0};
  };
  std::map<std::string, ToldTime> service_times;  ///< By route.
  std::uint32_t sent = 0;                         ///< Own requests under way to it.
  std::uint32_t sent_since = 0;  ///< Own requests sent since it last told its load.
  std::uint32_t failures = 0;    ///< Connections that failed in a row.
  TimePoint unreachable_until{0};
  TimePoint refused_until{0};  ///< It refused lately; others are asked first.
  TimePoint fenced_until{0};   ///< It said that it takes nothing more.
  peer_liveness liveness;      ///< Of its daemon.
};

struct InstanceDirectoryOptions {
  std::string zone;
  std::uint64_t random_seed = 1;
};

class InstanceDirectory {
 public:
  explicit InstanceDirectory(InstanceDirectoryOptions options);

  /// Takes over a record that is newer than the one held. Returns whether its daemon has started
  /// anew since: connections to the former process are of no use.
  bool offer(const InstanceRecord& record);
  /// A ready server of `service` for a request of `route` whose daemon is not in `excluded`, or
  /// nullptr.
  KnownInstance* choose(const std::string& service, const std::string& route,
                        const std::set<std::string>& excluded, TimePoint now);
  /// Daemons of which there is a record.
  [[nodiscard]] std::size_t size() const { return by_daemon_.size(); }
  /// The daemons beside ready servers of `service`.
  [[nodiscard]] std::vector<std::string> daemonsOf(const std::string& service) const;
  [[nodiscard]] bool hasInstances(const std::string& service) const;

  void onSent(KnownInstance& instance, TimePoint now);
  void onEnded(KnownInstance& instance);
  /// Told with the answer to a request of `route`.
  void onLoad(KnownInstance& instance, const std::string& route, const ServerLoad& load,
              TimePoint now);
  void onRefused(KnownInstance& instance, TimePoint now);
  void onUnreachable(KnownInstance& instance, TimePoint now);
  /// A request sent to it was answered, by its server or by its daemon.
  void onReached(KnownInstance& instance, TimePoint now);
  void onPingAnswered(KnownInstance& instance, TimePoint now);
  /// Those whose daemons are to be pinged, and those that have just fallen silent.
  struct LivenessChanges {
    std::vector<KnownInstance*> to_ping;
    std::vector<KnownInstance*> silent;
  };
  /// To be called every 100 ms or so. Looks at daemons with requests under way and at silent ones
  /// only: a few, however many are known.
  LivenessChanges checkLiveness(TimePoint now);
  /// The daemons that checkLiveness() looks at.
  [[nodiscard]] std::size_t watched() const { return watched_.size(); }
  /// The daemon said that this instance takes nothing more. Passed over until a newer record comes
  /// or some time has passed: what was said may be older than the record that is held.
  void onFenced(KnownInstance& instance, TimePoint now);

 private:
  void watch(KnownInstance& instance);
  [[nodiscard]] static double utilization(const KnownInstance& instance);
  [[nodiscard]] static bool toldRecently(const KnownInstance& instance, TimePoint now);
  [[nodiscard]] static std::optional<Duration> recentServiceTime(const KnownInstance& instance,
                                                                 const std::string& route,
                                                                 TimePoint now);
  /// What is ordinary among the servers of one service that told their load lately.
  struct ServiceBaseline {
    std::optional<Duration> fastest;           ///< The shortest service time.
    std::uint32_t median_failed_permille = 0;  ///< The lower median.
  };
  ServiceBaseline baselineOfCandidates(const std::string& route, TimePoint now);
  double cost(const KnownInstance& instance, const std::string& route,
              const ServiceBaseline& baseline, TimePoint now);
  [[nodiscard]] bool usable(const KnownInstance& instance, const std::string& service,
                            const std::set<std::string>& excluded, TimePoint now) const;

  InstanceDirectoryOptions options_;
  Random random_;
  std::map<std::string, KnownInstance> by_daemon_;
  std::map<std::string, std::vector<KnownInstance*>> by_service_;
  std::map<std::string, KnownInstance*> watched_;  ///< By daemon, as by_daemon_.
  std::vector<KnownInstance*> candidates_;  ///< Of the choice being made; kept for its memory.
  std::vector<std::uint32_t> failed_;       ///< Of the candidates; likewise.
};

}  // namespace ramppond
