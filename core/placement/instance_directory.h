// Load balancing: selects the server of a service that the next attempt of a request is sent to.
//
// Input: the records of all servers, the load reported in answers, own requests in flight, and
// which proxies refused requests, were unreachable or became silent (times in microseconds).
// Output: the server that the policy selects, and the proxies to ping. Owns one KnownInstance for
// each proxy that published a record. No I/O; not thread safe.
//
// The directory determines which servers may be chosen at all; the policy
// (core/placement/placement_policy.h) selects one of them. Health checks are not used: they take a
// slot, and a failing server may still pass them.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/distribution/instance_registry.h"
#include "core/placement/known_instance.h"
#include "core/placement/placement_kind.h"
#include "core/placement/placement_policy.h"
#include "core/time.h"

namespace ramppond {

struct InstanceDirectoryOptions {
  std::string zone;
  std::uint64_t random_seed = 1;
  placement_kind placement = placement_kind::utilization;
  bool load_queries = true;  ///< For placement by expected completion.
};

class InstanceDirectory {
 public:
  explicit InstanceDirectory(InstanceDirectoryOptions options);

  /// Stores a record that is newer than the one held. Returns whether the proxy that wrote it has
  /// restarted, so that connections to its former process must be dropped.
  bool offer(const InstanceRecord& record);
  /// Returns the available server of `service` that the policy selects for a request of `route`, or
  /// nullptr if there is none. Skips the proxies in `excluded`.
  KnownInstance* choose(const std::string& service, const std::string& route,
                        const std::set<std::string>& excluded, TimePoint now);
  /// Returns the instances that must be sent a load query because of the last choose(), at most
  /// two, and forgets them. Always empty for placement by utilization.
  std::vector<KnownInstance*> takeLoadQueries() { return take_load_queries(policy_); }
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
  [[nodiscard]] bool usable(const KnownInstance& instance, const std::string& service,
                            const std::set<std::string>& excluded, TimePoint now) const;

  placement_policy policy_;
  std::map<std::string, KnownInstance> by_proxy_;  ///< By the address of the proxy.
  std::map<std::string, std::vector<KnownInstance*>> by_service_;
  std::map<std::string, KnownInstance*> watched_;  ///< By the address of the proxy.
  std::vector<KnownInstance*> candidates_;  ///< Of the current choose(); reused for its memory.
};

}  // namespace ramppond
