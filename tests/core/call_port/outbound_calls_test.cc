#include "core/call_port/outbound_calls.h"

#include <gtest/gtest.h>

namespace ramppond {
namespace {

class OutboundCallsTest : public testing::Test {
 protected:
  OutboundCallsTest() {
    std::vector<ServerInfo> servers;
    for (const std::string name : {"s1", "s2", "s3", "s4"}) {
      ServerInfo info;
      info.name = name;
      info.service = "records";
      info.peer_address = name;
      info.incarnation = 9;
      servers.push_back(info);
    }
    router_.setServers("records", servers, now_);
  }

  void start(std::uint32_t allowance, bool repeatable) {
    CallContext context;
    context.retry_allowance = allowance;
    scope_ = std::make_shared<CallScope>(context, now_ + seconds(2));
    OutboundSpec spec;
    spec.token = 1;
    spec.scope = scope_;
    spec.service = "records";
    spec.repeatable = repeatable;
    calls_.start(spec, now_, actions_);
  }
  CallRequest lastSent() {
    for (auto action = actions_.rbegin(); action != actions_.rend(); ++action) {
      if (const auto* send = std::get_if<SendToPeer>(&*action)) {
        return send->request;
      }
    }
    return {};
  }
  std::size_t sent() const {
    return static_cast<std::size_t>(std::count_if(
        actions_.begin(), actions_.end(),
        [](const DaemonAction& action) { return std::holds_alternative<SendToPeer>(action); }));
  }
  CallAnswer good(const CallRequest& request) {
    CallAnswer answer;
    answer.id = request.id;
    answer.receiver_incarnation = 9;
    answer.outcome = Outcome::kRan;
    answer.status = 200;
    answer.body_checksum = bodyChecksum("");
    return answer;
  }
  CallAnswer refusal(const CallRequest& request, ErrorKind kind) {
    CallAnswer answer = errorCallAnswer(request.id, kind);
    answer.receiver_incarnation = 9;
    answer.retries_returned = request.context.retry_allowance;
    answer.body_checksum = bodyChecksum("");
    return answer;
  }
  void answer(const CallAnswer& answer) { calls_.onAnswer(answer.id, answer, now_, actions_); }

  TimePoint now_ = seconds(10);
  Router router_{"a", 1};
  OutboundCalls calls_{77, *findOverloadPolicy("ramppond"), router_};
  std::shared_ptr<CallScope> scope_;
  DaemonActions actions_;
};

TEST_F(OutboundCallsTest, AnAnswerEndsTheCall) {
  start(3, true);
  answer(good(lastSent()));
  const auto results = calls_.takeResults();
  ASSERT_EQ(results.size(), 1U);
  EXPECT_EQ(results[0].answer.outcome, Outcome::kRan);
  EXPECT_TRUE(calls_.idle());
}

TEST_F(OutboundCallsTest, RetriesARefusalElsewhereWithinTheAllowance) {
  start(2, false);
  for (int refusal_number = 0; refusal_number < 6 && !calls_.idle(); ++refusal_number) {
    answer(refusal(lastSent(), ErrorKind::kOverloaded));
  }
  EXPECT_TRUE(calls_.idle());
  EXPECT_EQ(sent(), 3U) << "one attempt and two retries";
  EXPECT_EQ(calls_.takeResults().at(0).answer.outcome, Outcome::kNotRun);
}

TEST_F(OutboundCallsTest, AnUnknownOutcomeIsRetriedOnlyIfTheCallMayBeRepeated) {
  start(2, false);
  calls_.onFailure(lastSent().id, false, now_, actions_);
  EXPECT_EQ(sent(), 1U);
  EXPECT_EQ(calls_.takeResults().at(0).answer.outcome, Outcome::kUnknown);
  start(2, true);
  calls_.onFailure(lastSent().id, false, now_, actions_);
  EXPECT_EQ(sent(), 3U);
}

TEST_F(OutboundCallsTest, AfterAnUnknownAttemptNothingIsCalledNotRun) {
  start(4, true);
  calls_.onFailure(lastSent().id, false, now_, actions_);
  while (!calls_.idle()) {
    answer(refusal(lastSent(), ErrorKind::kOverloaded));
  }
  EXPECT_EQ(calls_.takeResults().at(0).answer.outcome, Outcome::kUnknown);
}

TEST_F(OutboundCallsTest, ALateAnswerIsDropped) {
  start(2, true);
  const CallRequest first = lastSent();
  calls_.onFailure(first.id, false, now_, actions_);
  answer(good(first));
  EXPECT_TRUE(calls_.takeResults().empty());
  EXPECT_EQ(calls_.counters().late_answers, 1U);
  answer(good(lastSent()));
  EXPECT_EQ(calls_.takeResults().size(), 1U);
}

TEST_F(OutboundCallsTest, AnAnswerMustEchoItsAttemptAndItsChecksum) {
  start(0, false);
  CallAnswer wrong = good(lastSent());
  wrong.body = "altered";
  answer(wrong);
  EXPECT_EQ(calls_.counters().mismatched_answers, 1U);
  EXPECT_EQ(calls_.takeResults().at(0).answer.outcome, Outcome::kUnknown);
  start(0, false);
  CallAnswer other = good(lastSent());
  other.id.sequence += 1;
  calls_.onAnswer(lastSent().id, other, now_, actions_);
  EXPECT_EQ(calls_.counters().mismatched_answers, 2U);
}

TEST_F(OutboundCallsTest, TheDeadlineEndsTheCallAsUnknown) {
  start(0, false);
  now_ += seconds(3);
  calls_.tick(now_, actions_);
  const auto results = calls_.takeResults();
  ASSERT_EQ(results.size(), 1U);
  EXPECT_EQ(results[0].answer.error, ErrorKind::kDeadlineExceeded);
  EXPECT_EQ(results[0].answer.outcome, Outcome::kUnknown);
}

TEST_F(OutboundCallsTest, LendsHalfOfTheAllowanceAndTakesBackWhatIsUnspent) {
  start(4, true);
  EXPECT_EQ(lastSent().context.retry_allowance, 2U);
  EXPECT_EQ(scope_->retries(), 2U);
  CallAnswer reply = good(lastSent());
  reply.retries_returned = 1;
  answer(reply);
  EXPECT_EQ(scope_->retries(), 3U);
}

TEST_F(OutboundCallsTest, ARequesterThatGoesAwayCancelsTheAttempt) {
  start(4, true);
  const CallRequest request = lastSent();
  calls_.cancel(1, now_, actions_);
  EXPECT_TRUE(std::holds_alternative<CancelPeer>(actions_.back()));
  answer(good(request));
  EXPECT_TRUE(calls_.takeResults().empty());
}

}  // namespace
}  // namespace ramppond
