// What the parts of a running proxy share. One thread; see ProxyProcess for who owns what.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "common/event_log.h"
#include "core/admission/circuit_breaker.h"
#include "core/admission/overload_below.h"
#include "core/admission/server_admission.h"
#include "core/admission/service_times.h"
#include "core/external_api.h"
#include "core/lifecycle/local_server.h"
#include "core/placement/instance_directory.h"
#include "core/random.h"
#include "core/retries/call_attribution.h"
#include "core/retries/retry_budgets.h"
#include "core/tenants/api_keys.h"
#include "core/tenants/authority_lease.h"
#include "core/tenants/quota_gate.h"
#include "core/tenants/tenant_rank.h"
#include "core/traffic/traffic_configuration.h"
#include "daemon/proxy/crash_guard.h"
#include "daemon/proxy/proxy_settings.h"
#include "net/stream/event_loop.h"
#include "net/stream/http_client.h"

namespace ramppond {

/// A configuration in force and its routes; requests hold on to the one that they began with.
struct TrafficInForce {
  explicit TrafficInForce(TrafficConfiguration taken)
      : configuration(std::move(taken)),
        routes(configuration),
        keys(configuration.tenants),
        ranks(configuration.tenants) {}
  TrafficConfiguration configuration;
  TrafficRoutes routes;
  api_keys keys;
  tenant_ranks ranks;
};

struct ProxyCounters {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;  ///< By a server.
  std::uint64_t refused = 0;   ///< 503: not run.
  std::uint64_t shed = 0;      ///< Of these, where they began, for overload further down.
  std::uint64_t failed = 0;    ///< 502 and 504: unknown.
  std::uint64_t no_route = 0;
  std::uint64_t no_tenant = 0;      ///< 400, 401: no key, or one that nobody holds.
  std::uint64_t no_authority = 0;   ///< Keys could not be judged: the lease has lapsed.
  std::uint64_t beyond_limit = 0;   ///< 429: beyond the tenant's limit.
  std::uint64_t limited_alone = 0;  ///< Of these, without a recent word of the leader.
  std::uint64_t clients_gone = 0;
  std::uint64_t broken_off = 0;
  std::uint64_t attempts = 0;
  std::uint64_t repeats = 0;
  std::uint64_t repeats_unpaid = 0;      ///< Not made for want of budget.
  std::uint64_t repeats_of_unknown = 0;  ///< Of repeats: an earlier attempt may have run.
  std::uint64_t inbound = 0;
  std::uint64_t inbound_fenced = 0;
  std::uint64_t inbound_refused = 0;
  std::uint64_t inbound_broken = 0;  ///< Refused since the server fails its requests.
  std::uint64_t server_not_run = 0;
  std::uint64_t server_failures = 0;
  std::uint64_t server_ends = 0;       ///< Of the server beside it, without a word.
  std::uint64_t ended_under_way = 0;   ///< Requests that it was at work on then.
  std::uint64_t isolated = 0;          ///< Suspected requests that were to run alone.
  std::uint64_t suspects_cleared = 0;  ///< By a good end here, at two ends or more before.
  std::uint64_t requests_barred = 0;   ///< Verdicts; see core/crash_evidence/request_verdicts.h.
  std::uint64_t bars_withdrawn = 0;    ///< Wrong ones among them.
  std::uint64_t inbound_barred = 0;    ///< Refused by them.
  std::uint64_t pings = 0;
  std::uint64_t silent_peers = 0;  ///< Pings that were not answered in time.
};

class ForwardedRequest;
class InboundRequest;
class peer_ping;

struct ProxyContext {
  ProxyContext(EventLoop& event_loop, const ExternalApi& external,
               const OperatingBounds& operating_bounds, ProxySettings own_settings,
               std::uint64_t seed);

  /// The pool to a peer; made when first needed.
  HttpClientPool& peer(const std::string& daemon_address);
  /// Kept connections to a process that is gone would swallow the next requests.
  void closeIdleTo(const std::string& daemon_address);
  retry_budget& budget(const std::string& service);
  /// Begins waiting requests for which there is room now, and refuses those that waited too long.
  void pumpAdmission();
  /// Pings peers that let requests wait, and moves requests away from those that fell silent.
  void checkPeers();
  /// Takes over the slots and connections that the server beside it may use.
  void applyServerLimits();
  /// The server beside it changed; tells whoever must know.
  void reportServer();
  /// Ranks of clients' requests that are refused before those of `rank`. Routes that only servers
  /// call have none: their requests are never refused where they begin.
  [[nodiscard]] std::uint32_t ranksBelow(std::uint32_t rank) const;
  /// Overload at the services that requests of `route` need when they run at the own server.
  [[nodiscard]] std::vector<service_overload> overloadBelow(const std::string& route) const;
  /// The address of the server beside it refused a connection meant for `incarnation`. Returns
  /// whether others to it stand.
  bool noteServerRefusal(const std::string& incarnation);
  /// What the end of a request tells the breaker.
  void noteServerOutcome(ServerOutcome outcome, bool reused_connection);
  /// The load of the own server, as told with the answer to a request of `route`.
  [[nodiscard]] ServerLoad serverLoad(const std::string& route) const;

  EventLoop& loop;
  const ExternalApi& api;
  ProxySettings settings;
  OperatingBounds bounds;
  Random random;
  std::shared_ptr<const TrafficInForce> traffic;
  authority_lease lease;  ///< On keys.
  quota_gate quotas;
  InstanceDirectory directory;
  LocalServer server;
  ServerAdmission admission;
  service_times times;      ///< Of the server beside it.
  circuit_breaker breaker;  ///< Of the server beside it.
  call_attribution calls;   ///< Of the server beside it.
  overload_below overload;  ///< By the routes of requests that begin on this machine.
  HttpClientPool server_pool;
  crash_guard guard;  ///< Of the server beside it.
  std::map<std::string, std::unique_ptr<HttpClientPool>> peers;
  retry_budgets budgets;
  std::map<std::string, std::shared_ptr<peer_ping>> pings;  ///< The last one to each daemon.
  std::set<ForwardedRequest*> under_way;                    ///< Those with an attempt under way.
  std::map<AdmissionId, std::weak_ptr<InboundRequest>> waiting;
  AdmissionId next_admission_id = 1;
  LoopTimer admission_timer;
  std::function<void()> on_server_changed;
  std::function<void()> on_tenant_surge;
  std::string judged_incarnation;    ///< That the breaker's state is about.
  TimePoint last_failed_forward{0};  ///< When a request that began here last ended without success.
  bool refuse_peers = false;  ///< This daemon ends soon: nothing new may begin at its server.
  ProxyCounters counters;
  DecisionLimit own_answers{"own_answer"};          ///< Answers made here in place of a server's.
  DecisionLimit repeats{"repeat"};                  ///< Further attempts of a request.
  DecisionLimit refused_reports{"report_refused"};  ///< Of a server, or of another writer.
  DecisionLimit refusals{"inbound_refused"};        ///< Requests of peers that were not run here.
};

}  // namespace ramppond
