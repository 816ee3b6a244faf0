// An address of this machine that nobody listens on.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "common/settings.h"
#include "net/stream/event_loop.h"

namespace ramppond {

/// A port of the loopback address that the kernel chose a moment ago.
inline Endpoint freeEndpoint(EventLoop& loop) {
  boost::asio::ip::tcp::acceptor probe(
      loop.context(),
      boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address_v4("127.0.0.1"), 0));
  return {"127.0.0.1", probe.local_endpoint().port()};
}

}  // namespace ramppond
