// The order of retries with real processes: active while the configuration has tenants.
#include <gtest/gtest.h>

#include "tests/platform/forwarding_fixture.h"

namespace ramppond::fake_platform {
namespace {

const char kKey[] = "key-of-the-council-0001";

class RetryOrderTest : public ForwardingTest {
 protected:
  /// Sends requests that lose their server, so that the proxy asks its budget for retries, until
  /// the proxies have written their counters once more.
  std::string logAfterLostRequests(const std::string& target) {
    for (const auto& server : deployment_.servers) {
      server->crashes_on = "/boom";
    }
    Request lost = request(target + "boom", "lost-" + std::to_string(next_++));
    lost.headers["Authorization"] = std::string("Bearer ") + kKey;
    EXPECT_NE(deployment_.send(0, lost).status, 200);
    const std::size_t before = countIn(log(), "\"event\":\"counters\"");
    EXPECT_TRUE(deployment_.runUntil([&] {
      return countIn(log(), "\"event\":\"counters\"") >= before + Deployment::kServerMachines;
    }));
    return log();
  }
  static std::size_t countIn(const std::string& text, const std::string& part) {
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
      ++count;
    }
    return count;
  }
};

TEST_F(RetryOrderTest, LogsRetriesByClassWhileThereAreTenants) {
  ASSERT_EQ(deployment_.put("00000002", tenantDocument("00000003", {{"council", {kKey}}})), 200);
  ASSERT_TRUE(deployment_.runUntil([this] { return countIn(log(), "\"number\":\"3\"") >= 4; }));
  const std::string text = logAfterLostRequests("/one/");
  EXPECT_NE(text.find("\"event\":\"retry_order\""), std::string::npos);
  // The request may have run, so its client is not told to return: all retries are of one class.
  const std::string none_unrepeatable =
      "\"unrepeatable_granted\":\"0\",\"unrepeatable_denied\":\"0\"";
  const std::string none_direct = "\"direct_granted\":\"0\",\"direct_denied\":\"0\"";
  EXPECT_NE(text.find(none_unrepeatable), std::string::npos);
  EXPECT_NE(text.find(none_direct), std::string::npos);
}

// Without tenants nothing of the part may show, so that the current rule stays in force.
TEST_F(RetryOrderTest, IsInactiveWithoutTenants) {
  const std::string text = logAfterLostRequests("/one/");
  const bool asked_budget = text.find("\"event\":\"repeat\"") != std::string::npos ||
                            text.find("\"repeats_unpaid\":\"1\"") != std::string::npos;
  EXPECT_TRUE(asked_budget);
  EXPECT_EQ(text.find("\"event\":\"retry_order\""), std::string::npos);
}

}  // namespace
}  // namespace ramppond::fake_platform
