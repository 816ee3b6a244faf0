#include "daemon/proxy/peer_ping.h"

#include "daemon/proxy/peer_headers.h"

namespace ramppond {

void peer_ping::send(ProxyContext& context, KnownInstance& instance) {
  ++context.counters.pings;
  auto head = HttpHead();
  head.method = "GET";
  head.target = "/";
  head.fields.push_back({"Host", instance.record.daemon_address});
  head.fields.push_back({std::string(kPeerPing), "1"});
  const auto ping = std::make_shared<peer_ping>(context, instance);
  // Held until it ends: the pool keeps no handler alive.
  context.pings[instance.record.daemon_address] = ping;
  context.peer(instance.record.daemon_address).start(head, BodyFraming::kNone, "", true, ping);
}

void peer_ping::onResponseHead(HttpHead head) {
  const auto now = EventLoop::now();
  this->context.directory.onPingAnswered(this->instance, now);
  if (const auto load = parseLoad(head.find(kPeerLoad))) {
    this->context.directory.onLoad(this->instance, "", *load, now);
  }
}

void peer_ping::onRequestFailed(ClientFailure /*failure*/) {
  this->instance.liveness.on_ping_failed();
}

auto answer_ping(const ProxyContext& context, const std::shared_ptr<ServerExchange>& exchange)
    -> bool {
  if (exchange->request().find(kPeerPing) == nullptr) {
    return false;
  }
  auto head = HttpHead();
  head.status = 200;
  head.fields.push_back({std::string(kPeerLoad), formatLoad(context.serverLoad(""))});
  exchange->respond(std::move(head), "");
  return true;
}

}  // namespace ramppond
