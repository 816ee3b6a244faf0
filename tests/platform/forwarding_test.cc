// Tests of the whole forwarding path with real processes: answers, configuration changes, failures
// of control members and full disks.
#include <gtest/gtest.h>

#include <set>

#include "tests/platform/forwarding_fixture.h"

namespace ramppond::fake_platform {
namespace {

TEST_F(ForwardingTest, EveryAnswerIsCompleteAndMatchesItsRequest) {
  constexpr std::size_t kRequests = 200;
  constexpr std::size_t kMaxInFlight = 5;  // Below the number of slots of each server.
  const auto answers = sendMany(kRequests, kMaxInFlight);
  for (std::size_t number = 0; number < kRequests; ++number) {
    const std::string id = "own-" + std::to_string(number);
    EXPECT_TRUE(isCorrectAnswer(number, answers.at(id))) << answers.at(id).status;
    EXPECT_EQ(runsOf(id), 1);
  }
  for (const auto& server : deployment_.servers) {
    if (!server->runs.empty()) {
      EXPECT_TRUE(server->caller_service == "one" || server->caller_service == "two");
      EXPECT_EQ(server->expected_instance.substr(0, 2), "i-");
    }
  }
}

// Sends more requests than the servers have room for.
TEST_F(ForwardingTest, RequestRefusedUnderOverloadDidNotRun) {
  for (const auto& server : deployment_.servers) {
    server->work = milliseconds(50);
  }
  constexpr std::size_t kRequests = 600;
  const auto answers = sendMany(kRequests, kRequests);
  std::size_t refused = 0;
  for (std::size_t number = 0; number < kRequests; ++number) {
    const std::string id = "own-" + std::to_string(number);
    const Answer& answer = answers.at(id);
    if (isCorrectAnswer(number, answer)) {
      EXPECT_EQ(runsOf(id), 1);
      continue;
    }
    refused += 1;
    // On a busy machine a process may stand still for longer than the time after which its peers
    // take it for silent. A request that waits there may have run.
    if (answer.status == 502 && logContains("\"event\":\"peer_silent\"")) {
      continue;
    }
    EXPECT_EQ(answer.status, 503);
    EXPECT_FALSE(answer.retry_after.empty());
    EXPECT_EQ(runsOf(id), 0);
  }
  EXPECT_GT(refused, 0U);
  EXPECT_LT(refused, kRequests);
}

TEST_F(ForwardingTest, LargeAnswerIsForwardedInBoundedMemory) {
  std::vector<std::size_t> before;
  for (const auto& program : deployment_.proxies) {
    before.push_back(program->peakMemoryKib());
    EXPECT_GT(before.back(), 0U);
  }
  const Answer answer = deployment_.send(0, request("/one/large", "large"));
  EXPECT_TRUE(answer.complete);
  EXPECT_EQ(answer.body.size(), kLargeAnswerBytes);
  constexpr std::size_t kMaxGrowthKib = kLargeAnswerBytes / 1024 / 4;
  for (std::size_t machine = 0; machine < before.size(); ++machine) {
    EXPECT_LT(deployment_.proxies[machine]->peakMemoryKib() - before[machine], kMaxGrowthKib);
  }
}

TEST_F(ForwardingTest, ConfigurationChangeReachesAllProxiesAndIsReadBackUnchanged) {
  EXPECT_EQ(deployment_.send(0, request("/second/x", "before")).status, 404);
  const std::string next = configurationDocument("00000005", "/second/");
  EXPECT_EQ(deployment_.put("00000002", next), 200);
  EXPECT_EQ(deployment_.put("00000002", next), 200);  // Sent again unchanged.
  EXPECT_EQ(deployment_.put("00000002", configurationDocument("00000005", "/other/")), 412);
  EXPECT_EQ(deployment_.put("00000005", configurationDocument("00000004", "/other/")), 400);
  EXPECT_TRUE(deployment_.runUntil([this] { return allServe("/second/x"); }));
  EXPECT_EQ(deployment_.read(), next);
  EXPECT_EQ(deployment_.send(1, request("/first/x", "after")).status, 404);
}

TEST_F(ForwardingTest, ConfigurationSurvivesMemberCrashAndFullRestart) {
  deployment_.control[0]->signal(SIGKILL);
  const std::string next = configurationDocument("00000005", "/second/");
  EXPECT_EQ(deployment_.put("00000002", next), 200);
  deployment_.control.clear();
  deployment_.startControl();
  ASSERT_TRUE(deployment_.runUntil([&] { return deployment_.read() == next; }));
  EXPECT_TRUE(deployment_.runUntil([this] { return allServe("/second/x"); }));
}

// Holds for every member, the leader included: the other two accept changes meanwhile, and the
// member takes part again once its disk accepts writes.
TEST_F(ForwardingTest, MemberWithFullDiskKeepsRunningAndRejoins) {
  for (std::size_t full = 0; full < Deployment::kControlMachines; ++full) {
    const std::string base = "0000000" + std::to_string(2 + full);
    const std::string next = configurationDocument("0000000" + std::to_string(3 + full), "/n/");
    deployment_.control[full]->failDiskWrites();
    EXPECT_EQ(deployment_.put(base, next), 200);
    EXPECT_TRUE(deployment_.runUntil([this] { return allServe("/n/x"); }));
    EXPECT_TRUE(deployment_.control[full]->running());
    deployment_.control[full]->restoreDiskWrites();
  }
  deployment_.control[0]->signal(SIGKILL);  // A quorum now needs both other members.
  const std::string last = configurationDocument("00000009", "/last/");
  EXPECT_EQ(deployment_.put("00000005", last), 200);
  EXPECT_TRUE(deployment_.runUntil([this] { return allServe("/last/x"); }));
}

// With all disks full nothing can be acknowledged, but the configuration in force is kept.
TEST_F(ForwardingTest, ChangesFailWhileAllDisksAreFullAndNothingIsLost) {
  for (const auto& member : deployment_.control) {
    member->failDiskWrites();
  }
  const std::string next = configurationDocument("00000005", "/second/");
  for (int machine = 0; machine < Deployment::kControlMachines; ++machine) {
    const int status = deployment_.putTo(machine, "00000002", next);
    EXPECT_TRUE(status == 503 || status == 0) << status;
  }
  EXPECT_TRUE(allServe("/first/x"));
  for (const auto& member : deployment_.control) {
    EXPECT_TRUE(member->running());
    member->restoreDiskWrites();
  }
  EXPECT_EQ(deployment_.put("00000002", next), 200);
  EXPECT_TRUE(deployment_.runUntil([&] { return deployment_.read() == next; }));
}

}  // namespace
}  // namespace ramppond::fake_platform
