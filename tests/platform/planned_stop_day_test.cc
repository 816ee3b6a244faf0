// Planned stops of daemons with requests under way, with real processes.
#include <gtest/gtest.h>

#include <csignal>

#include "tests/platform/forwarding_fixture.h"

namespace ramppond::fake_platform {
namespace {

TEST_F(ForwardingTest, StoppingDaemonsOneAfterTheOtherCutsNoRequest) {
  for (const auto& server : deployment_.servers) {
    server->work = milliseconds(80);
  }
  for (int stopped = 0; stopped < 2; ++stopped) {
    std::size_t sent = 0;
    std::size_t answered = 0;
    std::size_t complete = 0;
    const auto sendSome = [&](int machine) {
      sent += 1;
      const std::string id = "stop-" + std::to_string(stopped) + "-" + std::to_string(sent);
      deployment_.sendLater(machine, request("/one/s", id), [&](const Answer& answer) {
        answered += 1;
        complete += answer.complete ? 1 : 0;
      });
    };
    sendSome(stopped);
    sendSome(stopped);
    deployment_.runFor(milliseconds(20));
    deployment_.proxies[static_cast<std::size_t>(stopped)]->signal(SIGTERM);
    EXPECT_TRUE(deployment_.runUntil([&] { return deployment_.readiness(stopped) == 503; }));
    sendSome(stopped);  // Still served, or refused as not run.
    sendSome((stopped + 1) % Deployment::kServerMachines);
    EXPECT_TRUE(deployment_.runUntil([&] { return answered == sent; }));
    EXPECT_EQ(complete, sent);
    auto& program = *deployment_.proxies[static_cast<std::size_t>(stopped)];
    EXPECT_TRUE(deployment_.runUntil([&] { return !program.running(); }));
    EXPECT_EQ(program.exitStatus(), 0);
    deployment_.startProxy(stopped);
    EXPECT_TRUE(deployment_.runUntil([&] { return deployment_.readiness(stopped) == 200; }));
  }
}

// A request that begins and ends between two looks at what is under way was once cut: its answer
// was with the connection and had not left. Here the daemon stands still from the moment at which
// the server has the request until the answer and its own timers wait for it together.
TEST_F(ForwardingTest, AStoppingDaemonDeliversAnAnswerThatItGetsWhenItMayEnd) {
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
  deployment_.sendLater(kStopped, request("/one/race", "race"), [&](const Answer& told) {
    answer = told;
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

// Whoever sends around the end of a stopping daemon gets a whole answer, or its request was never
// handed on.
TEST_F(ForwardingTest, RequestsAtAnyMomentAroundAStopAreAnsweredOrNeverRead) {
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
    // Pauses of all lengths: shorter and longer than anything that the daemon waits for.
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
