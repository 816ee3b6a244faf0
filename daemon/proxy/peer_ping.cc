#include "daemon/proxy/peer_ping.h"

#include "daemon/proxy/peer_headers.h"
#include "net/stream/http_status.h"

namespace ramppond {

auto peer_ping::send(HttpClientPool& pool, InstanceDirectory& directory, KnownInstance& instance,
                     ping_purpose purpose) -> std::shared_ptr<peer_ping> {
  auto head = HttpHead();
  head.method = "GET";
  head.target = "/";
  head.fields.push_back({"Host", instance.record.proxy_address});
  head.fields.push_back({std::string(kPeerPing), "1"});
  auto ping = std::make_shared<peer_ping>(directory, instance, purpose);
  pool.start(head, BodyFraming::kNone, "", true, ping);
  return ping;
}

void peer_ping::onResponseHead(HttpHead head) {
  const auto now = EventLoop::now();
  this->directory.onPingAnswered(this->instance, now);
  const bool replaced = this->purpose == ping_purpose::load_query &&
                        this->instance.record.server_incarnation != this->incarnation;
  auto load = parseLoad(head.find(kPeerLoad));
  if (load && !replaced) {
    load->slowdown_percent = parseSlowdown(head.find(kPeerSlowdown));
    if (this->purpose == ping_purpose::load_query) {
      // Answers to pings carry no rate; the one that the server named in a response still applies.
      load->rate = this->instance.rate();
    }
    this->directory.onLoad(this->instance, "", *load, now);
  }
}

void peer_ping::onRequestFailed(ClientFailure /*failure*/) {
  this->ended = true;
  if (this->purpose == ping_purpose::liveness) {
    this->instance.liveness.on_ping_failed();
  }
}

auto is_ping(const HttpHead& request) -> bool {
  return request.find(kPeerPing) != nullptr;
}

void answer_ping(ServerExchange& exchange, const ServerLoad& load) {
  auto head = HttpHead();
  head.status = kOk;
  head.fields.push_back({std::string(kPeerLoad), formatLoad(load)});
  if (load.slowdown_percent) {
    head.fields.push_back({std::string(kPeerSlowdown), std::to_string(*load.slowdown_percent)});
  }
  exchange.respond(std::move(head), "");
}

}  // namespace ramppond
