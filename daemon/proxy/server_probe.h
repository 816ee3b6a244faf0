// Asks whether anybody listens at a server's address, by a connection on which
// nothing is sent.
#pragma once

#include <functional>

#include "net/stream/tcp_connection.h"

namespace ramppond {

class server_probe : public TcpConnection {
 public:
  /// Calls back with whether the address refused; not called if the answer
  /// tells nothing of the server, or after abort().
  server_probe(EventLoop& loop, std::function<void(bool refused)> done);
  void start(const Endpoint& endpoint);

 private:
  void onConnected() override;
  void onConnectFailed(ConnectFailure failure) override;
  void onData(std::string_view bytes) override;
  void onEnd(ConnectionEnd end) override;

  std::function<void(bool refused)> done;
};

}  // namespace ramppond
