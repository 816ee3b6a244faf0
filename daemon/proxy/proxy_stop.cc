#include "daemon/proxy/proxy_stop.h"

#include <cstdint>
#include <string>

#include "common/event_log.h"

namespace ramppond {
namespace {

// Clients stop sending after they were told twice, a second apart, that this proxy is not ready.
constexpr auto least_stop_time = milliseconds(2100);
// Until then peers that know no other server may still send requests. What was begun must end
// before this proxy does.
constexpr auto peers_served_while_stopping = milliseconds(1200);
constexpr auto check_interval = milliseconds(20);
// Of the grace. Requests that come all the time do not keep the proxy from closing: what was read
// until then has the other half.
constexpr std::int64_t close_latest_divisor = 2;
// The end comes this long before the platform would enforce it.
constexpr auto grace_margin = milliseconds(300);

auto times_for(const OperatingBounds& bounds) -> stop_times {
  return {peers_served_while_stopping, least_stop_time, bounds.grace / close_latest_divisor,
          bounds.grace - grace_margin};
}

}  // namespace

proxy_stop::proxy_stop(EventLoop& loop, const OperatingBounds& bounds, StreamHttpServer& clients,
                       StreamHttpServer& peers)
    : clients(clients), peers(peers), times(times_for(bounds)), timer(loop) {}

void proxy_stop::begin() {
  if (this->stop) {
    return;
  }
  const auto now = EventLoop::now();
  this->stop.emplace(this->times, now);
  logEvent(now.count(), "stopping");
  this->clients.drain();
  this->peers.drain();
  this->on_begun();
  this->check();
}

auto proxy_stop::load() const -> stop_load {
  return {this->clients.underWay() + this->peers.underWay(),
          this->clients.connections() + this->peers.connections()};
}

void proxy_stop::check() {
  const auto left = this->load();
  const auto phase = this->stop->step(left, EventLoop::now());
  this->on_checked(phase != stop_phase::draining);
  if (phase == stop_phase::closing) {
    this->close();
  }
  if (phase == stop_phase::ended) {
    this->on_ended(left);
    return;
  }
  this->timer.after(check_interval, [this] { this->check(); });
}

void proxy_stop::close() {
  if (this->clients.closed()) {
    return;
  }
  this->clients.close();
  this->peers.close();
  const auto left = this->load();
  logEvent(EventLoop::now().count(), "closing",
           {{"requests", std::to_string(left.requests)},
            {"connections", std::to_string(left.connections)}});
}

}  // namespace ramppond
