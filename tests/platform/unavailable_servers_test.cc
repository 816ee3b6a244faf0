// Requests whose servers are frozen, draining or unavailable, with real processes.
#include <gtest/gtest.h>

#include <csignal>

#include "tests/platform/forwarding_fixture.h"

namespace ramppond::fake_platform {
namespace {

// A frozen process keeps its connections open, so only a timeout detects it.
TEST_F(ForwardingTest, RequestsToFrozenDaemonAreRetriedElsewhere) {
  constexpr int kClients = 1;
  constexpr std::size_t kFrozen = 2;
  constexpr std::size_t kRequests = 4;
  for (int warmup = 0; warmup < 60; ++warmup) {  // First attempts fill the retry budget.
    ASSERT_EQ(
        deployment_.send(kClients, request("/one/e", "earn-" + std::to_string(warmup))).status,
        200);
  }
  deployment_.proxies[kFrozen]->signal(SIGSTOP);
  std::map<std::string, Answer> answers;
  for (std::size_t number = 0; number < kRequests; ++number) {
    const std::string id = "frozen-" + std::to_string(number);
    deployment_.sendLater(kClients, request("/one/f", id),
                          [&answers, id](const Answer& answer) { answers[id] = answer; });
  }
  EXPECT_TRUE(deployment_.runUntil([&] { return answers.size() == kRequests; }));
  deployment_.proxies[kFrozen]->signal(SIGCONT);
  // Pending heartbeats of the resumed daemon are answered before the test ends.
  EXPECT_EQ(deployment_.send(static_cast<int>(kFrozen), request("/one/a", "awake")).status, 200);
  deployment_.runFor(milliseconds(300));
  for (const auto& [id, answer] : answers) {
    EXPECT_EQ(answer.status, 200) << id;
  }
}

// An unsafe request is sent completely to a daemon only once there is room for it there. A frozen
// daemon therefore cannot have run it, and another daemon may take it.
TEST_F(ForwardingTest, UnsafeRequestsToFrozenDaemonAreServedOnceElsewhere) {
  constexpr int kClients = 0;
  constexpr std::size_t kFrozen = 1;
  // No more than the other server is given at a time: when they are recalled from the frozen daemon
  // they may all arrive there at once, with no time left to wait in a queue.
  constexpr std::size_t kRequests = 7;
  deployment_.proxies[kFrozen]->signal(SIGSTOP);
  std::map<std::string, Answer> answers;
  for (std::size_t number = 0; number < kRequests; ++number) {
    const std::string id = "once-" + std::to_string(number);
    Request wanted = request("/two/f", id);
    wanted.method = "POST";
    wanted.body = number % 2 == 0 ? "" : "body of " + id;
    deployment_.sendLater(kClients, wanted,
                          [&answers, id](const Answer& answer) { answers[id] = answer; });
  }
  EXPECT_TRUE(deployment_.runUntil([&] { return answers.size() == kRequests; }));
  deployment_.proxies[kFrozen]->signal(SIGCONT);
  EXPECT_EQ(deployment_.send(static_cast<int>(kFrozen), request("/one/a", "awake")).status, 200);
  deployment_.runFor(milliseconds(500));
  for (const auto& [id, answer] : answers) {
    EXPECT_EQ(answer.status, 200) << id;
    EXPECT_EQ(runsOf(id), 1) << id;
  }
}

TEST_F(ForwardingTest, DrainingServerGetsNoNewRequests) {
  deployment_.servers[0]->beat("draining");
  deployment_.runFor(milliseconds(1500));
  const std::size_t before = deployment_.servers[0]->runs.size();
  for (int number = 0; number < 20; ++number) {
    const Answer answer = deployment_.send(number % Deployment::kServerMachines,
                                           request("/one/d", "drain-" + std::to_string(number)));
    EXPECT_EQ(answer.status, 200);
  }
  EXPECT_EQ(deployment_.servers[0]->runs.size(), before);
}

TEST_F(ForwardingTest, RequestIsServedWhenServerBecomesReadyInTime) {
  deployment_.servers[1]->beat("draining");
  deployment_.servers[3]->beat("draining");
  deployment_.runFor(milliseconds(1500));
  Answer result;
  bool done = false;
  deployment_.sendLater(0, request("/two/w", "wait"), [&](const Answer& answer) {
    result = answer;
    done = true;
  });
  deployment_.runFor(milliseconds(20));
  deployment_.servers[1]->beat("ready");
  EXPECT_TRUE(deployment_.runUntil([&] { return done; }));
  EXPECT_EQ(result.status, 200);
  EXPECT_EQ(runsOf("wait"), 1);
}

TEST_F(ForwardingTest, RequestWithoutReadyServerIsNotRunAndGetsRetryAfter) {
  for (const std::size_t machine : {std::size_t{1}, std::size_t{3}}) {
    deployment_.servers[machine]->beat("draining");
  }
  deployment_.runFor(milliseconds(1500));
  Request wanted = request("/two/n", "none");
  wanted.method = "POST";
  wanted.body = "x";
  const Answer answer = deployment_.send(0, wanted);
  EXPECT_EQ(answer.status, 503);
  EXPECT_FALSE(answer.retry_after.empty());
  EXPECT_EQ(answer.request_id, "none");
  EXPECT_EQ(runsOf("none"), 0);
}

}  // namespace
}  // namespace ramppond::fake_platform
