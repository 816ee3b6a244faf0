// What the parts of a running proxy share.
//
// Owns the parts that more than one path of requests uses. A part with a job of its own is a class
// that takes what it uses; ForwardedRequest, InboundRequest and crash_guard take this context. On
// the thread of the event loop.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "common/event_log.h"
#include "core/admission/downstream_overload.h"
#include "core/admission/shedding.h"
#include "core/external/external_api.h"
#include "core/placement/instance_directory.h"
#include "core/random.h"
#include "core/retries/call_attribution.h"
#include "core/retries/retry_budgets.h"
#include "core/tenants/api_keys.h"
#include "core/tenants/authority_lease.h"
#include "core/tenants/quota_limiter.h"
#include "core/tenants/tenant_rank.h"
#include "core/traffic/traffic_configuration.h"
#include "daemon/proxy/crash_guard.h"
#include "daemon/proxy/own_server.h"
#include "daemon/proxy/peer_monitor.h"
#include "daemon/proxy/peer_pools.h"
#include "daemon/proxy/proxy_counters.h"
#include "daemon/proxy/proxy_settings.h"
#include "daemon/proxy/waiting_requests.h"
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

class ForwardedRequest;

struct ProxyContext {
  ProxyContext(EventLoop& event_loop, const ExternalApi& external,
               const OperatingBounds& operating_bounds, ProxySettings own_settings,
               std::uint64_t seed);

  EventLoop& loop;
  const ExternalApi& api;
  ProxySettings settings;
  OperatingBounds bounds;
  Random random;
  std::shared_ptr<const TrafficInForce> traffic;
  authority_lease lease;  ///< On keys.
  quota_limiter quotas;
  InstanceDirectory directory;
  proxy_counters counters;
  own_server own;
  call_attribution calls;        ///< Of the own server.
  downstream_overload overload;  ///< By the routes of requests that begin on this machine.
  crash_guard guard;             ///< Of the own server.
  peer_pools peers;
  retry_budgets budgets;
  std::set<ForwardedRequest*> under_way;  ///< Those with an attempt under way.
  peer_monitor monitor;
  waiting_requests waiting;
  std::function<void()> on_tenant_surge;
  TimePoint last_failed_forward{0};  ///< When a request that began here last ended without success.
  bool refuse_peers = false;         ///< This proxy ends soon: nothing new may begin at its server.
  DecisionLimit own_answer_log{"own_answer"};    ///< Answers made here in place of a server's.
  DecisionLimit retry_log{"repeat"};             ///< Retries.
  DecisionLimit refusal_log{"inbound_refused"};  ///< Requests of peers that were not run here.
  DecisionLimit limit_log{"inbound_limited"};    ///< Of these, for the rate that the server names.
};

}  // namespace ramppond
