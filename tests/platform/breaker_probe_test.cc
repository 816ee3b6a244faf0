// The circuit breaker beside a server with a named limit, with real processes: its probe may be
// refused for that limit.
#include <gtest/gtest.h>

#include <string>

#include "tests/platform/forwarding_fixture.h"

namespace ramppond::fake_platform {
namespace {

constexpr char kLimit[] = "2";  // requests per second
constexpr char kBreakerRefusal[] = "server fails";
constexpr char kLimitRefusal[] = "busy;limit";
constexpr int kMaximumRounds = 5;
// Sent one after the other, which takes far less time than the breaker waits for a probe.
constexpr int kRequestsAfterProbe = 5;

class BreakerProbeTest : public ForwardingTest {
 protected:
  /// Sends a request that does not wait to the proxy beside server 0, as another proxy does.
  std::string sendAsPeer() {
    return deployment_.sendRaw(
        deployment_.serverHost(0), deployment_.ports.peers,
        "GET /one/x HTTP/1.1\r\nHost: app.example\r\nRequest-Id: peer-" + std::to_string(next_++) +
            "\r\nDeadline-Ms: 4000\r\nRamppond-Instance: i-0\r\nRamppond-Service: one\r\n"
            "Ramppond-Route: r-one\r\nRamppond-Repeatable: 1\r\nRamppond-Patience-Ms: 0\r\n\r\n");
  }
  /// Opens the breaker and lets the server recover. Returns whether the next probe was refused for
  /// the limit; it is served if a token is there.
  bool refuseProbe() {
    deployment_.servers[0]->fails = true;
    EXPECT_TRUE(deployment_.runUntil(
        [this] { return sendAsPeer().find(kBreakerRefusal) != std::string::npos; }));
    deployment_.servers[0]->fails = false;
    std::string answer = sendAsPeer();
    while (answer.find(kBreakerRefusal) != std::string::npos) {
      answer = sendAsPeer();
    }
    return answer.find(kLimitRefusal) != std::string::npos;
  }
};

// Guards against a server that has recovered and stays out for another second whenever its probe is
// refused for want of room.
TEST_F(BreakerProbeTest, RefusedProbeIsFollowedByTheNextRequest) {
  deployment_.servers[0]->named_limit = kLimit;
  bool refused = false;
  for (int round = 0; round < kMaximumRounds && !refused; ++round) {
    refused = refuseProbe();
  }
  ASSERT_TRUE(refused);
  for (int number = 0; number < kRequestsAfterProbe; ++number) {
    EXPECT_EQ(sendAsPeer().find(kBreakerRefusal), std::string::npos) << number;
  }
}

}  // namespace
}  // namespace ramppond::fake_platform
