#include "daemon/proxy/load_queries.h"

#include <utility>

#include "common/event_log.h"
#include "net/stream/event_loop.h"

namespace ramppond {

load_queries::load_queries(InstanceDirectory& directory, peer_pools& pools,
                           placement_kind placement, std::string zone)
    : directory(directory),
      pools(pools),
      active(placement == placement_kind::expected_completion),
      zone(std::move(zone)) {}

void load_queries::on_sent(const KnownInstance& chosen) {
  if (!this->active) {
    return;
  }
  this->requests += 1;
  this->left_zone += chosen.record.zone == this->zone ? 0 : 1;
  for (auto* instance : this->directory.takeLoadQueries()) {
    const auto& address = instance->record.proxy_address;
    auto& last = this->last_queries[address];
    if (last != nullptr && !last->has_ended()) {
      continue;
    }
    this->queries += 1;
    last = peer_ping::send(this->pools.pool_for(address), this->directory, *instance,
                           ping_purpose::load_query);
  }
}

void load_queries::log() {
  if (this->requests == 0) {
    return;
  }
  logEvent(EventLoop::now().count(), "placement",
           {{"requests", std::to_string(this->requests)},
            {"left_zone", std::to_string(this->left_zone)},
            {"load_queries", std::to_string(this->queries)}});
  this->requests = 0;
  this->left_zone = 0;
  this->queries = 0;
}

}  // namespace ramppond
