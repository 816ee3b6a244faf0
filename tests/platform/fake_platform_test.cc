// Tests of the platform test double. Leaks are detected by the sanitizers of CI.
#include "tests/platform/fake_platform.h"

#include <gtest/gtest.h>

namespace ramppond::fake_platform {
namespace {

TEST(AppServer, DestructorDuringHeartbeatLeaksNothing) {
  EventLoop loop;
  const Endpoint silent = {"127.0.0.1", 0};
  boost::asio::ip::tcp::acceptor listener(
      loop.context(),
      boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address_v4(silent.host), silent.port));
  boost::asio::ip::tcp::socket accepted(loop.context());
  listener.async_accept(accepted, [&](const boost::system::error_code&) { loop.stop(); });
  Ports ports;
  ports.reports = listener.local_endpoint().port();
  AppServer server(loop, silent.host, ports, "service", "instance");
  server.start();
  loop.run();
  EXPECT_EQ(server.heartbeats_acknowledged, 0U);
}

}  // namespace
}  // namespace ramppond::fake_platform
