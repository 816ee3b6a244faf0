// Accepts connections on one address and hands their sockets on.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <optional>
#include <string>

#include "common/settings.h"
#include "net/stream/event_loop.h"

namespace ramppond {

class TcpListener {
 public:
  using Accepted = std::function<void(boost::asio::ip::tcp::socket)>;

  TcpListener(EventLoop& loop, Endpoint endpoint, Accepted accepted);

  /// Nothing on success, else why it cannot listen.
  std::optional<std::string> start();
  /// Takes the connections that wait already and accepts no others; they are refused from now on.
  void stop();

 private:
  void accept();

  Endpoint endpoint_;
  Accepted accepted_;
  boost::asio::ip::tcp::acceptor acceptor_;
  LoopTimer pause_;
};

}  // namespace ramppond
