// What is settled about a forwarded request before its first attempt, and holds until its end.
//
// Finds its route, tenant, rank, service and deadline by the configuration in force, and decides
// whether it is refused at once: without a route, beyond a limit, or for overload at a service that
// it needs. On the thread of the event loop.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "core/answers/own_answer.h"
#include "daemon/proxy/proxy_context.h"
#include "net/stream/http_head.h"

namespace ramppond {

struct forwarded_terms {
  std::shared_ptr<const TrafficInForce> traffic;  // keeps `route` and `tenant` alive
  const TrafficRoute* route = nullptr;            // set unless the request was refused before
  const TenantDefinition* tenant = nullptr;       // none for calls of servers and open routes
  std::uint32_t rank = 0;                         // see tenant_ranks
  bool counted_by_quota = false;                  // given back if the request does not run
  std::string service;                            // drawn by the weights of the route's split
  TimePoint received{0};
  TimePoint deadline{0};
  bool is_call = false;  // of the own server, or may be one
  attributed_request attributed;

  /// Fills in the rest for a request that came at `received`, and takes its credential off `head`.
  /// The answer if the request is refused; what was found until then stays for the log line.
  auto settle(ProxyContext& context, HttpHead& head) -> std::optional<own_answer>;

  [[nodiscard]] auto may_run_twice() const -> bool { return isRetryable(this->route->kind); }
  /// The longest wait for room at a server.
  [[nodiscard]] auto patience() const -> Duration;

 private:
  auto find_route(const ProxyContext& context, const HttpHead& head) -> std::optional<own_answer>;
  auto find_tenant(ProxyContext& context, HttpHead& head) -> std::optional<own_answer>;
  auto ask_quota(ProxyContext& context) -> std::optional<own_answer>;
  auto shed(ProxyContext& context, Duration wanted) -> std::optional<own_answer>;
};

}  // namespace ramppond
