#include "daemon/proxy/proxy_stop.h"

#include <string>

#include "common/event_log.h"
#include "core/lifecycle/proxy_stop_times.h"

namespace ramppond {
namespace {

constexpr auto check_interval = milliseconds(20);

}  // namespace

proxy_stop::proxy_stop(EventLoop& loop, const OperatingBounds& bounds, StreamHttpServer& clients,
                       StreamHttpServer& peers)
    : clients(clients), peers(peers), times(proxy_stop_times(bounds.grace)), timer(loop) {}

void proxy_stop::begin() {
  if (this->stop) {
    return;
  }
  const auto now = EventLoop::now();
  this->stop.emplace(this->times, now);
  logEvent(now.count(), "stopping");
  this->clients.drain();
  this->peers.drain();
  this->on_begun(dispatch_window(this->times, now));
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
