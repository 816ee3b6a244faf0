// State shared by the parts of a running proxy.
//
// Owns the parts that both forwarded and inbound requests use. Most parts take only what they need;
// ForwardedRequest, InboundRequest and crash_guard take the whole context. Used on the event loop's
// thread.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "common/event_log.h"
#include "core/admission/downstream_overload.h"
#include "core/admission/share_shedding.h"
#include "core/admission/shedding.h"
#include "core/external/external_api.h"
#include "core/lifecycle/dispatch_window.h"
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
#include "daemon/proxy/load_queries.h"
#include "daemon/proxy/own_server.h"
#include "daemon/proxy/peer_monitor.h"
#include "daemon/proxy/peer_pools.h"
#include "daemon/proxy/proxy_counters.h"
#include "daemon/proxy/proxy_settings.h"
#include "daemon/proxy/retry_order.h"
#include "daemon/proxy/return_times.h"
#include "daemon/proxy/server_load_monitor.h"
#include "daemon/proxy/upload_buffers.h"
#include "daemon/proxy/waiting_requests.h"
#include "net/stream/event_loop.h"
#include "net/stream/http_client.h"

namespace ramppond {

/// A configuration in force and its derived lookup tables. A request keeps the one that it started
/// with.
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

/// Which optional parts are active under the configuration in force.
struct active_features {
  bool fair_shares = false;
  bool retry_order = false;
  bool return_times = false;

  auto operator==(const active_features& other) const -> bool {
    return this->fair_shares == other.fair_shares && this->retry_order == other.retry_order &&
           this->return_times == other.return_times;
  }
  /// Whether this proxy determines the root of each request and passes it on.
  [[nodiscard]] auto needs_roots() const -> bool { return this->fair_shares || this->retry_order; }
};

struct ProxyContext {
  ProxyContext(EventLoop& event_loop, const ExternalApi& external,
               const OperatingBounds& operating_bounds, ProxySettings own_settings,
               std::uint64_t seed);

  /// Puts `taken` in force.
  void set_traffic(TrafficConfiguration taken);
  /// Takes the modes of fair_shares, retry_order and return_times from settings that were read
  /// again, so that an operator can switch a part off without a restart.
  void set_feature_modes(const ProxySettings& read);
  /// Recomputes `features` from the settings and the configuration in force; logs the event
  /// `optional_parts` if one changes.
  void update_features();

  EventLoop& loop;
  const ExternalApi& api;
  ProxySettings settings;
  OperatingBounds bounds;
  Random random;
  std::shared_ptr<const TrafficInForce> traffic;
  active_features features;
  authority_lease lease;  ///< Lease on judging API keys.
  quota_limiter quotas;
  InstanceDirectory directory;
  proxy_counters counters;
  own_server own;
  server_load_monitor server_load;  ///< Reports of the local server on its machine.
  call_attribution calls;           ///< Calls of the local server.
  downstream_overload overload;     ///< By route of the requests that originate on this machine.
  share_shedding shares;            ///< By caller of the requests that originate on this machine.
  crash_guard guard;                ///< Guards the local server.
  peer_pools peers;
  retry_budgets budgets;
  retry_order_totals ordered_retries;      ///< While features.retry_order is active.
  return_times returns;                    ///< Return times of refused clients.
  std::set<ForwardedRequest*> attempting;  ///< Requests with an attempt in flight.
  peer_monitor monitor;
  load_queries placement_queries;  ///< For placement by expected completion.
  waiting_requests waiting;
  upload_buffers uploads;  ///< Memory of buffered uploads.
  std::function<void()> on_tenant_surge;
  /// When a request that originated here last ended without success.
  TimePoint last_failed_forward{0};
  /// Set shortly before this proxy ends: no new request may start at its server.
  bool refuse_peers = false;
  /// Set once this proxy stops: which requests may still be passed on.
  std::optional<dispatch_window> stop_window;
  DecisionLimit own_answer_log{"own_answer"};    ///< Answers given here in place of a server's.
  DecisionLimit retry_log{"repeat"};             ///< Retries.
  DecisionLimit refusal_log{"inbound_refused"};  ///< Peers' requests that were refused here.
  DecisionLimit cut_log{"answer_cut"};  ///< Answers of servers that were cut after their head.
  DecisionLimit limit_log{"inbound_limited"};  ///< Those refused for the announced rate limit.
};

}  // namespace ramppond
