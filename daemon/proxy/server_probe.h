// Checks whether a process listens at a server's address by opening one connection, on which
// nothing is sent.
//
// Owns that connection. Used when all connections to the server are gone, to tell a crash from lost
// connections. Used on the event loop's thread.
#pragma once

#include <cstdint>
#include <functional>

#include "net/stream/tcp_connection.h"

namespace ramppond {

enum class probe_answer : std::uint8_t {
  listens,
  refuses,
  unknown,  // no answer in time, or this process is out of sockets
};

class server_probe : public TcpConnection {
 public:
  /// Calls `done` once, but not after abort().
  server_probe(EventLoop& loop, std::function<void(probe_answer)> done);
  void start(const Endpoint& endpoint);

 private:
  void onConnected() override;
  void onConnectFailed(ConnectFailure failure) override;
  void onData(std::string_view bytes) override;
  void onEnd(ConnectionEnd end) override;

  std::function<void(probe_answer)> done;
};

}  // namespace ramppond
