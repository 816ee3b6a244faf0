#include "daemon/proxy/server_probe.h"

namespace ramppond {
namespace {

// On the machine's own address the answer comes at once; a silent one tells
// nothing.
constexpr auto probe_time = milliseconds(500);

}  // namespace

server_probe::server_probe(EventLoop& loop, std::function<void(bool refused)> done)
    : TcpConnection(loop), done(std::move(done)) {}

void server_probe::start(const Endpoint& endpoint) {
  this->connect(endpoint, probe_time);
}

void server_probe::onConnected() {
  this->abort(false);
  this->done(false);
}

void server_probe::onConnectFailed(ConnectFailure failure) {
  if (failure == ConnectFailure::kRefused) {
    this->done(true);
  }
}

void server_probe::onData(std::string_view /*bytes*/) {}

void server_probe::onEnd(ConnectionEnd /*end*/) {}

}  // namespace ramppond
