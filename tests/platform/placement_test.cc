// Placement by expected completion with real processes.
#include <gtest/gtest.h>

#include <algorithm>
#include <regex>
#include <string>

#include "tests/platform/forwarding_fixture.h"

namespace ramppond::fake_platform {
namespace {

constexpr std::size_t kRequests = 400;

class PlacementTest : public ForwardingTest {
 protected:
  /// Sends requests, waits for the next log line of each second, and returns whether all were
  /// answered correctly.
  bool allAreServed() {
    for (const auto& server : deployment_.servers) {
      server->work = milliseconds(20);
    }
    const auto answers = sendMany(kRequests, 64);
    deployment_.runFor(milliseconds(1200));
    return answers.size() == kRequests &&
           std::all_of(answers.begin(), answers.end(),
                       [](const auto& answer) { return answer.second.status == 200; });
  }
};

class ExpectedCompletionTest : public PlacementTest {
 protected:
  void SetUp() override {
    deployment_.proxy_settings = "placement = \"expected_completion\"\n";
    ForwardingTest::SetUp();
  }
};

TEST_F(ExpectedCompletionTest, ServesRequestsAndLogsWhatItDoes) {
  EXPECT_TRUE(allAreServed());
  EXPECT_TRUE(
      std::regex_search(log(), std::regex(R"("event":"placement".*"load_queries":"[1-9])")));
}

TEST_F(PlacementTest, LogsNothingWhileInactive) {
  EXPECT_TRUE(allAreServed());
  EXPECT_EQ(log().find("\"event\":\"placement\""), std::string::npos);
}

}  // namespace
}  // namespace ramppond::fake_platform
