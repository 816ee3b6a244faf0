// Parameters of a forwarded request that are resolved before its first attempt and hold until its
// end.
//
// Resolves the route, tenant, rank, service and deadline by the configuration in force, and decides
// whether the request is refused at once: because it has no route, exceeds a limit, or needs an
// overloaded service. Used on the event loop's thread.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "core/answers/own_answer.h"
#include "daemon/proxy/proxy_context.h"
#include "net/stream/http_head.h"

namespace ramppond {

struct forwarded_params {
  std::shared_ptr<const TrafficInForce> traffic;  // keeps `route` and `tenant` valid
  const TrafficRoute* route = nullptr;            // null if the request was refused before routing
  const TenantDefinition* tenant = nullptr;       // null for calls of servers and for open routes
  std::uint32_t rank = 0;                         // see tenant_ranks
  bool counted_by_quota = false;  // returned to the quota if the request does not run
  std::string service;            // chosen at random by the weights of the route's split
  TimePoint received{0};
  TimePoint deadline{0};
  /// When the client stops waiting; not limited by the route.
  TimePoint client_deadline{0};
  bool is_call = false;  // a call of the local server, or possibly one
  attributed_request attributed;
  std::optional<request_root> root;  // of its call tree; absent if unknown or not in use
  double caller_shed_share = 0;      // share of its caller's requests refused when it was admitted

  /// Resolves the remaining members for a request received at `received`, and removes its
  /// credential from `head`. Returns the answer if the request is refused; the members resolved
  /// until then are kept for the log line.
  auto resolve(ProxyContext& context, HttpHead& head) -> std::optional<own_answer>;

  [[nodiscard]] auto may_run_twice() const -> bool { return isRetryable(this->route->kind); }
  /// The maximum time the request may be queued at a server.
  [[nodiscard]] auto patience() const -> Duration;

 private:
  auto resolve_route(const ProxyContext& context, const HttpHead& head)
      -> std::optional<own_answer>;
  auto resolve_tenant(ProxyContext& context, HttpHead& head) -> std::optional<own_answer>;
  auto check_quota(ProxyContext& context) -> std::optional<own_answer>;
  void resolve_root();
  auto shed(ProxyContext& context, const HttpHead& head) -> std::optional<own_answer>;
  // Whether it is refused because its caller exceeds its share of the service.
  auto is_beyond_share(ProxyContext& context) -> bool;
};

}  // namespace ramppond
