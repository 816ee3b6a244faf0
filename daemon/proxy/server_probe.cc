#include "daemon/proxy/server_probe.h"

namespace ramppond {
namespace {

// A connection on the same machine is answered at once. With a shorter timeout, a busy machine
// answers too late to show a crash; with a longer one, the report of a crash is delayed by as much.
constexpr auto probe_timeout = milliseconds(500);

}  // namespace

server_probe::server_probe(EventLoop& loop, std::function<void(probe_answer)> done)
    : TcpConnection(loop), done(std::move(done)) {}

void server_probe::start(const Endpoint& endpoint) {
  this->connect(endpoint, probe_timeout);
}

void server_probe::onConnected() {
  this->abort(false);
  this->done(probe_answer::listens);
}

void server_probe::onConnectFailed(ConnectFailure failure) {
  const auto refuses = failure == ConnectFailure::kRefused;
  this->done(refuses ? probe_answer::refuses : probe_answer::unknown);
}

void server_probe::onData(std::string_view /*bytes*/) {}

void server_probe::onEnd(ConnectionEnd /*end*/) {}

}  // namespace ramppond
