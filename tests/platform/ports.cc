#include "tests/platform/ports.h"

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <vector>

namespace ramppond::fake_platform {

// All sockets stay open until all ports are chosen, so that no port is chosen twice.
Ports freePorts(EventLoop& loop, const std::string& host) {
  using Acceptor = boost::asio::ip::tcp::acceptor;
  std::vector<std::unique_ptr<Acceptor>> held;
  const auto next = [&] {
    held.push_back(std::make_unique<Acceptor>(
        loop.context(), boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address_v4(host), 0)));
    return held.back()->local_endpoint().port();
  };
  return {next(), next(), next(), next(), next(), next(), next()};
}

}  // namespace ramppond::fake_platform
