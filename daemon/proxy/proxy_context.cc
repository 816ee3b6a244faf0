#include "daemon/proxy/proxy_context.h"

#include "core/admission/fence_rule.h"
#include "core/admission/run_outcome.h"
#include "daemon/proxy/forwarded_request.h"
#include "daemon/proxy/inbound_request.h"
#include "daemon/proxy/peer_headers.h"
#include "daemon/proxy/peer_ping.h"

namespace ramppond {
namespace {

constexpr Duration kServerConnectTimeout = milliseconds(1000);
constexpr Duration kPeerConnectTimeout = milliseconds(300);
// A peer whose machine is cut off acknowledges nothing: whoever may be repeated still has time.
constexpr Duration kPeerUserTimeout = seconds(1);
constexpr Duration kPeerIdle = seconds(20);

HttpClientOptions serverPoolOptions(const ProxySettings& settings, const ExternalApi& api) {
  HttpClientOptions options;
  options.endpoint = settings.server_address;
  options.connect_timeout = kServerConnectTimeout;
  options.keep_when_scarce = true;  // A new connection costs the server a slot for a moment.
  options.id_header = api.headers().request_id;
  return options;
}

}  // namespace

ProxyContext::ProxyContext(EventLoop& event_loop, const ExternalApi& external,
                           const OperatingBounds& operating_bounds, ProxySettings own_settings,
                           std::uint64_t seed)
    : loop(event_loop),
      api(external),
      settings(std::move(own_settings)),
      bounds(operating_bounds),
      random(seed),
      lease(operating_bounds.revocation),
      quotas(operating_bounds.quota, seed),
      directory({settings.zone, seed}),
      server(draining_admission_time(bounds.drain_timeout)),
      server_pool(event_loop, serverPoolOptions(settings, external)),
      guard(*this),
      budgets(operating_bounds.retry_ratio, operating_bounds.retry_extra),
      admission_timer(event_loop) {
  if (settings.max_descriptors > 0) {
    loop.sockets().limit({settings.max_descriptors});
  }
}

std::uint32_t ProxyContext::ranksBelow(std::uint32_t rank) const {
  std::set<std::uint32_t> less_urgent;
  for (const TrafficRoute& route : traffic->configuration.routes) {
    if (!calls.comes_from_clients(route.name)) {
      continue;
    }
    for (const std::uint32_t other : traffic->ranks.all(route.priority)) {
      if (other > rank) {
        less_urgent.insert(other);
      }
    }
  }
  return static_cast<std::uint32_t>(less_urgent.size());
}

std::vector<service_overload> ProxyContext::overloadBelow(const std::string& route) const {
  const TimePoint now = EventLoop::now();
  std::vector<service_overload> levels;
  for (const std::string& call : calls.calls_of(route)) {
    levels = strictest(std::move(levels), overload.of(call, now));
  }
  return levels;
}

HttpClientPool& ProxyContext::peer(const std::string& daemon_address) {
  auto& pool = peers[daemon_address];
  if (pool == nullptr) {
    HttpClientOptions options;
    options.endpoint = parseEndpoint(daemon_address).value_or(Endpoint{"0.0.0.0", 1});
    options.connect_timeout = kPeerConnectTimeout;
    options.user_timeout = kPeerUserTimeout;
    options.idle_timeout = kPeerIdle;
    options.id_header = api.headers().request_id;
    options.farewell_header = std::string(kPeerFarewell);
    pool = std::make_unique<HttpClientPool>(loop, options);
  }
  return *pool;
}

void ProxyContext::closeIdleTo(const std::string& daemon_address) {
  const auto pool = peers.find(daemon_address);
  if (pool != peers.end()) {
    pool->second->closeIdle();
  }
}

retry_budget& ProxyContext::budget(const std::string& service) {
  return budgets.of(service);
}

ServerLoad ProxyContext::serverLoad(const std::string& route) const {
  const TimePoint now = EventLoop::now();
  ServerLoad load;
  load.limit = admission.limit();
  load.under_way = static_cast<std::uint32_t>(admission.underWay());
  load.waiting = static_cast<std::uint32_t>(admission.waiting());
  load.service_time = times.of(route, now).value_or(Duration(0));
  load.failed_permille = admission.failedPermille();
  load.shed = admission.shedLevel(now);
  return load;
}

void ProxyContext::applyServerLimits() {
  if (!server.known()) {
    return;
  }
  std::uint32_t max_connections = 0;
  if (traffic != nullptr) {
    for (const ServiceDefinition& service : traffic->configuration.services) {
      max_connections =
          service.name == server.heartbeat().service ? service.max_connections : max_connections;
    }
  }
  admission.setSlots(server.heartbeat().slots, max_connections);
}

void ProxyContext::noteServerOutcome(ServerOutcome outcome, bool reused_connection) {
  const TimePoint now = EventLoop::now();
  const bool was_closed = breaker.is_closed();
  switch (signal_of(outcome, reused_connection, now - last_failed_forward)) {
    case breaker_signal::success:
      breaker.on_success();
      break;
    case breaker_signal::failure:
      breaker.on_failure(now);
      break;
    case breaker_signal::unknown:
      breaker.on_unknown(now);
      break;
  }
  if (breaker.is_closed() != was_closed) {
    logEvent(now.count(), "breaker", {{"is", was_closed ? "open" : "closed"}});
  }
}

bool ProxyContext::noteServerRefusal(const std::string& incarnation) {
  const std::size_t established = server_pool.established();
  if (established == 0) {
    guard.on_server_gone(incarnation);
  }
  if (server.onConnectionRefused(incarnation, established)) {
    reportServer();
  }
  return established > 0;
}

void ProxyContext::reportServer() {
  if (server.known() && server.heartbeat().incarnation() != judged_incarnation) {
    judged_incarnation = server.heartbeat().incarnation();
    breaker = circuit_breaker();
    times = service_times();
  }
  applyServerLimits();
  if (on_server_changed) {
    on_server_changed();
  }
}

void ProxyContext::checkPeers() {
  const TimePoint now = EventLoop::now();
  const auto changes = directory.checkLiveness(now);
  for (KnownInstance* instance : changes.to_ping) {
    peer_ping::send(*this, *instance);
  }
  for (KnownInstance* instance : changes.silent) {
    counters.silent_peers += 1;
    closeIdleTo(instance->record.daemon_address);
    logEvent(
        now.count(), "peer_silent",
        {{"peer", instance->record.daemon_address}, {"waiting", std::to_string(instance->sent)}});
    std::vector<std::shared_ptr<ForwardedRequest>> requests;
    requests.reserve(under_way.size());
    for (ForwardedRequest* request : under_way) {
      requests.push_back(request->shared_from_this());
    }
    for (const auto& request : requests) {
      request->onPeerSilent(*instance);
    }
  }
}

void ProxyContext::pumpAdmission() {
  const TimePoint now = EventLoop::now();
  for (const AdmissionId id : admission.takeExpired(now)) {
    const auto request = waiting[id].lock();
    waiting.erase(id);
    if (request != nullptr) {
      request->onPatienceEnded();
    }
  }
  while (const auto id = admission.takeDispatchable(now)) {
    const auto request = waiting[*id].lock();
    waiting.erase(*id);
    if (request == nullptr) {
      admission.onFinished(now, ServerOutcome::kWithdrawn, now);
      continue;
    }
    request->onAdmitted();
  }
  const auto next = admission.nextExpiry();
  if (next) {
    admission_timer.after(std::max(*next - now, Duration(1000)), [this] { pumpAdmission(); });
  }
}

}  // namespace ramppond
