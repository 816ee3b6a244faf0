// Graceful shutdown of daemons with requests in flight, with real processes.
#include <gtest/gtest.h>

#include <csignal>

#include "tests/platform/forwarding_fixture.h"

namespace ramppond::fake_platform {
namespace {

TEST_F(ForwardingTest, StoppingDaemonsInTurnCompletesAllRequests) {
  for (const auto& server : deployment_.servers) {
    server->work = milliseconds(80);
  }
  for (int stopped = 0; stopped < 2; ++stopped) {
    std::size_t sent = 0;
    std::size_t answered = 0;
    std::size_t complete = 0;
    const auto sendOne = [&](int machine) {
      sent += 1;
      const std::string id = "stop-" + std::to_string(stopped) + "-" + std::to_string(sent);
      deployment_.sendLater(machine, request("/one/s", id), [&](const Answer& answer) {
        answered += 1;
        complete += answer.complete ? 1 : 0;
      });
    };
    sendOne(stopped);
    sendOne(stopped);
    deployment_.runFor(milliseconds(20));
    deployment_.proxies[static_cast<std::size_t>(stopped)]->signal(SIGTERM);
    EXPECT_TRUE(deployment_.runUntil([&] { return deployment_.readiness(stopped) == 503; }));
    sendOne(stopped);  // Served or refused as not run, but not cut off.
    sendOne((stopped + 1) % Deployment::kServerMachines);
    EXPECT_TRUE(deployment_.runUntil([&] { return answered == sent; }));
    EXPECT_EQ(complete, sent);
    auto& program = *deployment_.proxies[static_cast<std::size_t>(stopped)];
    EXPECT_TRUE(deployment_.runUntil([&] { return !program.running(); }));
    EXPECT_EQ(program.exitStatus(), 0);
    deployment_.startProxy(stopped);
    EXPECT_TRUE(deployment_.runUntil([&] { return deployment_.readiness(stopped) == 200; }));
  }
}

// Guards against a daemon that ends while an answer is still in the buffer of its connection: a
// request that began and ended between two checks for requests in flight was cut off. The daemon is
// paused while the server processes the request, so that the answer and the expired timers of the
// daemon are pending together when it continues.
TEST_F(ForwardingTest, StoppingDaemonDeliversAnswerThatArrivesWithStopTimer) {
  constexpr int kStopped = 0;
  const auto& program = deployment_.proxies[kStopped];
  for (const auto& server : deployment_.servers) {
    server->work = milliseconds(400);
  }
  program->signal(SIGTERM);
  deployment_.runFor(milliseconds(1900));
  bool last_done = false;
  deployment_.sendLater(kStopped, request("/one/busy", "busy"),
                        [&](const Answer&) { last_done = true; });
  ASSERT_TRUE(deployment_.runUntil([&] { return last_done; }));
  for (const auto& server : deployment_.servers) {
    server->work = milliseconds(10);
  }
  deployment_.runFor(milliseconds(150));
  Answer answer;
  bool done = false;
  deployment_.sendLater(kStopped, request("/one/race", "race"), [&](const Answer& received) {
    answer = received;
    done = true;
  });
  deployment_.runFor(milliseconds(8));
  program->signal(SIGSTOP);
  deployment_.runFor(milliseconds(300));
  program->signal(SIGCONT);
  ASSERT_TRUE(deployment_.runUntil([&] { return done; }));
  EXPECT_TRUE(answer.complete || runsOf("race") == 0);
  EXPECT_TRUE(deployment_.runUntil([&] { return !program->running(); }));
  EXPECT_EQ(program->exitStatus(), 0);
}

// A request sent around the end of a stopping daemon gets a complete answer or was never forwarded.
TEST_F(ForwardingTest, RequestsSentDuringStopAreAnsweredOrNotForwarded) {
  constexpr int kStopped = 0;
  const auto& program = deployment_.proxies[kStopped];
  for (const auto& server : deployment_.servers) {
    server->work = milliseconds(30);
  }
  program->signal(SIGTERM);
  std::map<std::string, Answer> answers;
  std::size_t sent = 0;
  while (program->running() && sent < 2000) {
    const std::string id = "offset-" + std::to_string(sent);
    Request wanted = request("/two/o", id);
    wanted.method = "POST";
    wanted.body = "x";
    deployment_.sendLater(kStopped, wanted,
                          [&answers, id](const Answer& answer) { answers[id] = answer; });
    sent += 1;
    // Pauses of varying length, both shorter and longer than all delays of the daemon's shutdown.
    deployment_.runFor(milliseconds(3 + (sent * 37) % 190));
  }
  EXPECT_EQ(program->exitStatus(), 0);
  ASSERT_TRUE(deployment_.runUntil([&] { return answers.size() == sent; }));
  for (const auto& [id, answer] : answers) {
    const bool not_run = !answer.complete || answer.status == 503;
    EXPECT_EQ(runsOf(id), not_run ? 0 : 1) << id << " status " << answer.status;
  }
}

}  // namespace
}  // namespace ramppond::fake_platform
