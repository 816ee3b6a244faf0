#include "core/call_port/inbound_calls.h"

#include <gtest/gtest.h>

namespace ramppond {
namespace {

constexpr std::uint64_t kSelf = 500;

template <class Action>
std::vector<Action> actionsOf(const DaemonActions& actions) {
  std::vector<Action> found;
  for (const DaemonAction& action : actions) {
    if (const auto* match = std::get_if<Action>(&action)) {
      found.push_back(*match);
    }
  }
  return found;
}

class InboundCallsTest : public testing::Test {
 protected:
  InboundCallsTest() : calls_(options()) {}

  static InboundOptions options() {
    InboundOptions options;
    options.incarnation = kSelf;
    options.slots = 2;
    options.policy = *findOverloadPolicy("ramppond");
    return options;
  }

  static CallRequest call(std::uint64_t sequence, Level level = 10) {
    CallRequest request;
    request.id = {1, sequence};
    request.receiver_incarnation = kSelf;
    request.context.time_left = seconds(2);
    request.context.level = level;
    request.context.depth = 1;
    request.context.retry_allowance = 2;
    return request;
  }

  std::vector<CallAnswer> send(const CallRequest& request) {
    DaemonActions actions;
    calls_.onRequest(request, now_, actions);
    std::vector<CallAnswer> answers;
    for (const AnswerPeer& answer : actionsOf<AnswerPeer>(actions)) {
      answers.push_back(answer.answer);
    }
    dispatched_ += actionsOf<DispatchToBackend>(actions).size();
    return answers;
  }

  std::vector<CallAnswer> finish(std::uint64_t sequence) {
    BackendAnswer answer;
    answer.status = 200;
    answer.body = "done";
    DaemonActions actions;
    calls_.onBackendAnswer({1, sequence}, answer, now_, actions);
    std::vector<CallAnswer> answers;
    for (const AnswerPeer& item : actionsOf<AnswerPeer>(actions)) {
      answers.push_back(item.answer);
    }
    dispatched_ += actionsOf<DispatchToBackend>(actions).size();
    return answers;
  }

  InboundCalls calls_;
  TimePoint now_ = seconds(10);
  std::size_t dispatched_ = 0;
};

TEST_F(InboundCallsTest, RunsNoMoreThanTheSlots) {
  for (std::uint64_t sequence = 1; sequence <= 4; ++sequence) {
    EXPECT_TRUE(send(call(sequence)).empty());
  }
  EXPECT_EQ(dispatched_, 2U);
  const auto answers = finish(1);
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers[0].outcome, Outcome::kRan);
  EXPECT_EQ(answers[0].body_checksum, bodyChecksum("done"));
  EXPECT_EQ(answers[0].retries_returned, 2U);
  EXPECT_EQ(dispatched_, 3U);
}

TEST_F(InboundCallsTest, ACopyIsRefusedWhateverBecameOfTheFirst) {
  send(call(1));
  ASSERT_EQ(send(call(1)).size(), 1U);
  EXPECT_EQ(send(call(1))[0].error, ErrorKind::kDuplicateCall);
  finish(1);
  EXPECT_EQ(send(call(1))[0].outcome, Outcome::kUnknown);
  EXPECT_EQ(dispatched_, 1U);
}

TEST_F(InboundCallsTest, ARefusedCallNeverRunsLater) {
  calls_.startDrain();
  const auto refused = send(call(1));
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].error, ErrorKind::kDraining);
  EXPECT_EQ(refused[0].outcome, Outcome::kNotRun);
  EXPECT_GT(refused[0].retry_after.count(), 0);
  calls_.stopDrain();
  EXPECT_EQ(send(call(1))[0].error, ErrorKind::kDuplicateCall);
  EXPECT_EQ(dispatched_, 0U);
}

TEST_F(InboundCallsTest, ACallForAnotherIncarnationIsRefused) {
  CallRequest request = call(1);
  request.receiver_incarnation = kSelf + 1;
  const auto answers = send(request);
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers[0].error, ErrorKind::kServerRestarted);
  EXPECT_EQ(answers[0].receiver_incarnation, kSelf);
}

TEST_F(InboundCallsTest, AFullQueueGivesUpTheLowestLevelAtOnce) {
  std::vector<CallAnswer> refused;
  for (std::uint64_t sequence = 1; sequence <= 60; ++sequence) {
    const Level level = sequence == 40 ? 5 : 2000 + static_cast<Level>(sequence);
    for (const CallAnswer& answer : send(call(sequence, level))) {
      refused.push_back(answer);
    }
  }
  ASSERT_FALSE(refused.empty());
  for (const CallAnswer& answer : refused) {
    EXPECT_EQ(answer.error, ErrorKind::kOverloaded);
    EXPECT_EQ(answer.outcome, Outcome::kNotRun);
    EXPECT_GE(answer.retry_after, milliseconds(200));
    EXPECT_NE(answer.id.sequence, 40U) << "the best call was given up";
  }
}

TEST_F(InboundCallsTest, ACallThatCannotMeetItsDeadlineIsNotStarted) {
  send(call(1));
  send(call(2));
  CallRequest late = call(3);
  late.context.time_left = milliseconds(5);
  send(late);
  now_ += milliseconds(10);
  const auto answers = finish(1);
  ASSERT_EQ(answers.size(), 2U);
  EXPECT_EQ(answers[1].error, ErrorKind::kDeadlineExceeded);
  EXPECT_EQ(answers[1].outcome, Outcome::kNotRun);
}

TEST_F(InboundCallsTest, ACommitOnceCallIsClaimedBeforeItIsDispatched) {
  CallRequest request = call(1);
  request.context.idempotency_key = "key";
  send(request);
  EXPECT_EQ(dispatched_, 0U);
  const auto claims = calls_.takeClaimActions();
  ASSERT_EQ(claims.size(), 1U);
  EXPECT_EQ(claims[0].type, CommandType::kClaim);
  DaemonActions actions;
  ClaimReply granted;
  granted.granted = true;
  calls_.onClaimReply(request.id, granted, now_, actions);
  EXPECT_EQ(actionsOf<DispatchToBackend>(actions).size(), 1U);
  EXPECT_FALSE(actionsOf<DispatchToBackend>(actions)[0].repeatable);
  finish(1);
  const auto completed = calls_.takeClaimActions();
  ASSERT_EQ(completed.size(), 1U);
  EXPECT_EQ(completed[0].type, CommandType::kCompleteClaim);
  EXPECT_EQ(completed[0].command.body, "done");
}

TEST_F(InboundCallsTest, WithoutAQuorumACommitOnceCallIsNotRun) {
  CallRequest request = call(1);
  request.context.idempotency_key = "key";
  send(request);
  calls_.takeClaimActions();
  now_ += seconds(3);
  DaemonActions actions;
  calls_.tick(now_, actions);
  const auto answers = actionsOf<AnswerPeer>(actions);
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers[0].answer.error, ErrorKind::kNoQuorum);
  EXPECT_EQ(answers[0].answer.outcome, Outcome::kNotRun);
  const auto released = calls_.takeClaimActions();
  ASSERT_EQ(released.size(), 1U);
  EXPECT_EQ(released[0].type, CommandType::kReleaseClaim);
  ClaimReply late;
  late.granted = true;
  actions.clear();
  calls_.onClaimReply(request.id, late, now_, actions);
  EXPECT_TRUE(actions.empty()) << "a grant that comes too late starts nothing";
}

TEST_F(InboundCallsTest, ACallerThatGoesAwayCancelsTheCall) {
  send(call(1));
  DaemonActions actions;
  calls_.cancel({1, 1}, now_, actions);
  EXPECT_EQ(actionsOf<CancelBackend>(actions).size(), 1U);
  EXPECT_TRUE(calls_.idle());
}

TEST_F(InboundCallsTest, ARunningClaimedCallOutlivesItsCaller) {
  CallRequest request = call(1);
  request.context.idempotency_key = "key";
  send(request);
  DaemonActions actions;
  ClaimReply granted;
  granted.granted = true;
  calls_.onClaimReply(request.id, granted, now_, actions);
  calls_.takeClaimActions();
  actions.clear();
  calls_.cancel(request.id, now_, actions);
  EXPECT_TRUE(actionsOf<CancelBackend>(actions).empty());
  finish(1);
  EXPECT_EQ(calls_.takeClaimActions().size(), 1U) << "its answer is kept for a repeat";
}

TEST_F(InboundCallsTest, ALostBackEndLeavesTheOutcomeUnknown) {
  send(call(1));
  DaemonActions actions;
  calls_.onBackendFailure({1, 1}, false, now_, actions);
  EXPECT_EQ(actionsOf<AnswerPeer>(actions).at(0).answer.outcome, Outcome::kUnknown);
}

TEST_F(InboundCallsTest, OnlyTheHandleOfARunningCallGivesRights) {
  DaemonActions actions;
  calls_.onRequest(call(1), now_, actions);
  const std::string handle = actionsOf<DispatchToBackend>(actions).at(0).handle;
  EXPECT_NE(calls_.scopeOfHandle(handle), nullptr);
  EXPECT_EQ(calls_.scopeOfHandle(handle + "0"), nullptr);
  finish(1);
  EXPECT_EQ(calls_.scopeOfHandle(handle), nullptr);
}

class LimitedInboundCallsTest : public InboundCallsTest {
 protected:
  LimitedInboundCallsTest() {
    InboundOptions many = options();
    many.slots = 100;
    calls_ = InboundCalls(many);
  }
  /// A call each millisecond for `time`; each runs for a millisecond and its answer names `limit`.
  std::size_t dispatchedIn(Duration time, const named_limit& limit) {
    const std::size_t before = dispatched_;
    for (const TimePoint end = now_ + time; now_ < end; now_ += milliseconds(1)) {
      DaemonActions actions;
      calls_.onRequest(call(++sequence_), now_, actions);
      calls_.tick(now_, actions);
      const auto begun = actionsOf<DispatchToBackend>(actions);
      dispatched_ += begun.size();
      for (const DispatchToBackend& dispatch : begun) {
        answer(dispatch.id, limit);
      }
    }
    return dispatched_ - before;
  }
  void answer(const CallId& id, const named_limit& limit) {
    BackendAnswer answer;
    answer.status = 200;
    answer.limit = limit;
    DaemonActions actions;
    calls_.onBackendAnswer(id, answer, now_, actions);
    dispatched_ += actionsOf<DispatchToBackend>(actions).size();
  }
  std::uint64_t sequence_ = 0;
};

TEST_F(LimitedInboundCallsTest, ABackEndThatNamesALimitGetsNoMoreCalls) {
  dispatchedIn(milliseconds(100), request_rate{20});
  const std::size_t limited = dispatchedIn(seconds(4), request_rate{20});
  EXPECT_LE(limited, 20 * (4 + 0.25) + 1);
  EXPECT_GE(limited, 0.9 * 20 * 4);
}

TEST_F(LimitedInboundCallsTest, TheLimitEndsWithAnswersThatNameNone) {
  dispatchedIn(seconds(2), request_rate{20});
  dispatchedIn(seconds(2), no_limit{});
  EXPECT_GE(dispatchedIn(seconds(1), no_limit{}), 900U);
}

}  // namespace
}  // namespace ramppond
