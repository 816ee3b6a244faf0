#include "daemon/proxy/peer_monitor.h"

#include <vector>

#include "common/event_log.h"
#include "daemon/proxy/forwarded_request.h"

namespace ramppond {

peer_monitor::peer_monitor(InstanceDirectory& directory, peer_pools& pools,
                           const std::set<ForwardedRequest*>& attempting, proxy_counters& counters)
    : directory(directory), pools(pools), attempting(attempting), counters(counters) {}

void peer_monitor::check() {
  const auto changes = this->directory.checkLiveness(EventLoop::now());
  for (auto* instance : changes.to_ping) {
    this->ping(*instance);
  }
  for (auto* instance : changes.silent) {
    this->on_silent(*instance);
  }
}

void peer_monitor::ping(KnownInstance& instance) {
  this->counters.pings += 1;
  const auto& address = instance.record.proxy_address;
  this->pings[address] = peer_ping::send(this->pools.pool_for(address), this->directory, instance);
}

void peer_monitor::on_silent(KnownInstance& instance) {
  const auto& address = instance.record.proxy_address;
  this->counters.silent_peers += 1;
  this->pools.close_idle_to(address);
  logEvent(EventLoop::now().count(), "peer_silent",
           {{"peer", address}, {"waiting", std::to_string(instance.sent)}});
  // Copied first: notified requests may end, and others may start.
  auto requests = std::vector<std::shared_ptr<ForwardedRequest>>();
  requests.reserve(this->attempting.size());
  for (auto* request : this->attempting) {
    requests.push_back(request->shared_from_this());
  }
  for (const auto& request : requests) {
    request->onPeerSilent(instance);
  }
}

}  // namespace ramppond
