#include "daemon/proxy/proxy_context.h"

#include "core/admission/fence_rule.h"

namespace ramppond {
namespace {

constexpr Duration kServerConnectTimeout = milliseconds(1000);

HttpClientOptions serverPoolOptions(const ProxySettings& settings, const ExternalApi& api) {
  HttpClientOptions options;
  options.endpoint = settings.server_address;
  options.connect_timeout = kServerConnectTimeout;
  options.keep_when_scarce = true;  // A new connection briefly occupies a slot of the server.
  options.id_header = api.headers().request_id;
  return options;
}

std::string onOrOff(bool active) {
  return active ? "on" : "off";
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
      directory({settings.zone, seed, settings.placement}),
      own(event_loop, serverPoolOptions(settings, external),
          draining_admission_time(bounds.drain_timeout)),
      server_load(event_loop, external, own, settings.server_address, settings.server_load),
      guard(*this),
      peers(event_loop, external.headers().request_id),
      budgets(bounds.retry_ratio, bounds.retry_extra),
      returns(*this),
      monitor(directory, peers, attempting, counters),
      placement_queries(directory, peers, settings.placement, settings.zone),
      waiting(event_loop, own.admission()),
      uploads(settings.max_upload_buffer) {
  own.on_gone = [this](const std::string& incarnation) { guard.on_server_gone(incarnation); };
  if (settings.max_descriptors > 0) {
    loop.sockets().limit({settings.max_descriptors});
  }
}

void ProxyContext::update_features() {
  const bool has_tenants = traffic != nullptr && !traffic->configuration.tenants.empty();
  active_features next;
  next.fair_shares = is_active(settings.fair_shares, has_tenants);
  next.retry_order = is_active(settings.retry_order, has_tenants);
  next.return_times = is_active(settings.return_times, has_tenants);
  if (next == features) {
    return;
  }
  features = next;
  own.admission().setFairShares(features.fair_shares);
  logEvent(EventLoop::now().count(), "optional_parts",
           {{"fair_shares", onOrOff(features.fair_shares)},
            {"retry_order", onOrOff(features.retry_order)},
            {"return_times", onOrOff(features.return_times)}});
}

void ProxyContext::set_feature_modes(const ProxySettings& read) {
  settings.fair_shares = read.fair_shares;
  settings.retry_order = read.retry_order;
  settings.return_times = read.return_times;
  update_features();
}

void ProxyContext::set_traffic(TrafficConfiguration taken) {
  own.set_services(taken.services);
  quotas.set_limits(taken.tenants);
  traffic = std::make_shared<const TrafficInForce>(std::move(taken));
  update_features();
}

}  // namespace ramppond
