// Fair shares with real processes: the proxy beside a scarce server reports the excess of a caller
// to the proxies that send its requests.
#include <gtest/gtest.h>

#include <string>

#include "tests/platform/forwarding_fixture.h"

namespace ramppond::fake_platform {
namespace {

constexpr char kShareField[] = "Ramppond-Share: ";
constexpr char kLarge[] = "council/r-one";
constexpr char kSmall[] = "office/r-one";
// Far more than the 8 slots of a server complete.
constexpr int kRequestsPerRound = 8;
constexpr Duration kRound = milliseconds(20);
constexpr int kRounds = 100;
constexpr int kMaximumRounds = 1000;

class FairSharesTest : public ForwardingTest {
 protected:
  /// Sends a request to the proxy beside server 0 as another proxy does; returns the head of the
  /// response.
  std::string runAsPeer(const std::string& caller) {
    return deployment_.sendRaw(
        deployment_.serverHost(0), deployment_.ports.peers,
        "GET /one/x HTTP/1.1\r\nHost: app.example\r\nRequest-Id: peer-" + std::to_string(next_++) +
            "\r\nDeadline-Ms: 4000\r\nRamppond-Instance: i-0\r\nRamppond-Service: one\r\n"
            "Ramppond-Route: r-one\r\nRamppond-Patience-Ms: 1000\r\nRamppond-Root: 1/1/" +
            caller + "\r\n\r\n");
  }
  void sendRound() {
    for (int number = 0; number <= kRequestsPerRound; ++number) {
      Request peer = request("/one/x", "flood-" + std::to_string(next_++));
      peer.headers["Ramppond-Instance"] = "i-0";
      peer.headers["Ramppond-Service"] = "one";
      peer.headers["Ramppond-Route"] = "r-one";
      peer.headers["Ramppond-Patience-Ms"] = "1000";
      const bool is_small = number == 0 && next_ % 5 == 0;
      peer.headers["Ramppond-Root"] = std::string("1/1/") + (is_small ? kSmall : kLarge);
      deployment_.sendLaterAsPeer(0, peer, [](const Answer&) {});
    }
    deployment_.runFor(kRound);
  }
  bool reportsExcess(const std::string& caller) {
    return runAsPeer(caller).find(kShareField) != std::string::npos;
  }
};

TEST_F(FairSharesTest, ResponsesReportTheExcessOfTheLargeCallerOnly) {
  ASSERT_EQ(deployment_.put("00000002",
                            tenantDocument("00000003", {{"council", {"key-1-of-the-council"}}})),
            200);
  deployment_.servers[0]->work = milliseconds(100);
  bool reported = false;
  for (int round = 0; round < kMaximumRounds && !reported; ++round) {
    sendRound();
    reported = round % 10 == 9 && reportsExcess(kLarge);
  }
  EXPECT_TRUE(reported);
  EXPECT_FALSE(reportsExcess(kSmall));
}

// Without tenants the part is inactive: other proxies receive no new field.
TEST_F(FairSharesTest, WithoutTenantsNoExcessIsReported) {
  deployment_.servers[0]->work = milliseconds(100);
  for (int round = 0; round < kRounds; ++round) {
    sendRound();
    ASSERT_FALSE(round % 10 == 9 && reportsExcess(kLarge));
  }
}

}  // namespace
}  // namespace ramppond::fake_platform
