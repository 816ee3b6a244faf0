#include "core/call_port/control_session.h"

#include <gtest/gtest.h>

#include "core/call_model/planning.h"
#include "core/call_port/front_door.h"
#include "core/cbor_codec.h"

namespace ramppond {
namespace {

Configuration configurationAt(std::uint64_t index) {
  Configuration configuration;
  configuration.group_id = 1;
  configuration.version = {1, index};
  return configuration;
}

class ControlSessionTest : public testing::Test {
 protected:
  ControlSessionTest() : session_(options()) {}

  static ControlSessionOptions options() {
    ControlSessionOptions options;
    options.server = "s";
    options.control_addresses = {"c1", "c2", "c3"};
    return options;
  }
  SendToControl poll() {
    for (int step = 0; step < 1000; ++step) {
      now_ += milliseconds(10);
      DaemonActions actions;
      session_.tick(now_, actions);
      for (const DaemonAction& action : actions) {
        if (const auto* send = std::get_if<SendToControl>(&action)) {
          return *send;
        }
      }
    }
    ADD_FAILURE() << "no poll";
    return {};
  }
  void reply(const SendToControl& request, const ControlReply& reply) {
    DaemonActions actions;
    session_.onReply(request.request_id, reply, now_, actions);
  }
  static ControlReply whole(std::uint64_t index) {
    ControlReply reply;
    reply.authoritative = true;
    reply.quorum_confirmed = true;
    reply.whole_configuration = encode(configurationAt(index));
    return reply;
  }
  static ConfigurationDelta delta(std::uint64_t from, std::uint64_t to, std::uint32_t allowance) {
    ConfigurationDelta delta;
    delta.base = {1, from};
    delta.version = {1, to};
    ConfigurationChange change;
    change.type = ChangeType::kSetRetryAllowance;
    change.retry_allowance = allowance;
    delta.changes = {change};
    return delta;
  }

  ControlSession session_;
  TimePoint now_{0};
};

TEST_F(ControlSessionTest, IsReadyOnlyWithAQuorumRead) {
  session_.offerSaved(configurationAt(3));
  const SendToControl first = poll();
  EXPECT_TRUE(first.request.poll.quorum_read);
  EXPECT_FALSE(session_.ready());
  reply(first, whole(5));
  EXPECT_TRUE(session_.ready());
  EXPECT_FALSE(session_.stale());
  EXPECT_EQ(session_.configuration().version.index, 5U);
}

TEST_F(ControlSessionTest, GoesOnStaleWithWhatItsDiskHolds) {
  session_.offerSaved(configurationAt(3));
  for (int step = 0; step < 300; ++step) {
    now_ += milliseconds(10);
    DaemonActions actions;
    session_.tick(now_, actions);
  }
  EXPECT_TRUE(session_.ready());
  EXPECT_TRUE(session_.stale());
}

TEST_F(ControlSessionTest, NeverTakesAnOlderVersion) {
  reply(poll(), whole(5));
  reply(poll(), whole(4));
  EXPECT_EQ(session_.configuration().version.index, 5U);
  EXPECT_EQ(session_.counters().configurations_refused, 1U);
}

TEST_F(ControlSessionTest, AppliesDeltasThatFollowWhatItHolds) {
  reply(poll(), whole(5));
  ControlReply news;
  news.authoritative = true;
  news.deltas = {delta(4, 5, 1), delta(5, 8, 2), delta(8, 9, 7)};
  reply(poll(), news);
  EXPECT_EQ(session_.configuration().version.index, 9U);
  EXPECT_EQ(session_.configuration().retry_allowance, 7U);
  reply(poll(), news);
  EXPECT_EQ(session_.configuration().version.index, 9U) << "known steps are passed over";
}

TEST_F(ControlSessionTest, ADeltaThatDoesNotApplyAsksForTheWhole) {
  reply(poll(), whole(5));
  ControlReply news;
  news.authoritative = true;
  news.deltas = {delta(5, 8, 1000)};
  reply(poll(), news);
  EXPECT_EQ(session_.configuration().version.index, 5U);
  const SendToControl next = poll();
  EXPECT_EQ(next.request.poll.have.index, 0U);
  reply(next, whole(8));
  EXPECT_EQ(session_.configuration().version.index, 8U);
  EXPECT_EQ(poll().request.poll.have.index, 8U);
}

TEST_F(ControlSessionTest, LeavesAMemberThatHearsNoLeader) {
  reply(poll(), whole(5));
  const std::string first = session_.upstream();
  ControlReply cut_off;
  cut_off.authoritative = false;
  reply(poll(), cut_off);
  EXPECT_NE(session_.upstream(), first);
}

TEST_F(ControlSessionTest, ANewInterestIsHeldByTheMemberUntilThereIsNews) {
  reply(poll(), whole(5));
  const SendToControl held = poll();
  session_.addInterest("records");
  const SendToControl replaced = poll();
  EXPECT_GT(replaced.request.poll.hold.count(), 0) << "an answer without news would be the last";
  ASSERT_EQ(replaced.request.poll.interests.size(), 1U);
  ControlReply news;
  news.authoritative = true;
  news.services = {ServiceServers{"records", 4, {}}};
  reply(replaced, news);
  EXPECT_EQ(session_.takeServers().size(), 1U);
  reply(held, whole(6));
  EXPECT_EQ(session_.configuration().version.index, 6U) << "a replaced poll still brings news";
}

TEST_F(ControlSessionTest, AsksAnOverloadedGroupLessOftenAndWaitsLonger) {
  Duration longest{0};
  for (int failure = 0; failure < 8; ++failure) {
    const SendToControl request = poll();
    EXPECT_GE(request.timeout, longest);
    longest = request.timeout;
    DaemonActions actions;
    session_.onReply(request.request_id, std::nullopt, now_, actions);
  }
  EXPECT_GE(longest, milliseconds(700) * 8);
  reply(poll(), whole(5));
  EXPECT_LT(poll().timeout, seconds(5));
}

TEST_F(ControlSessionTest, ClaimsGoOutInBatchesAndAreRepeatedAfterALoss) {
  reply(poll(), whole(5));
  ClaimAction claim;
  claim.command.key = "k";
  claim.command.holder = {1, 1};
  session_.carry({claim, claim}, now_);
  DaemonActions actions;
  session_.tick(now_, actions);
  const auto find = [](const DaemonActions& list) -> std::optional<SendToControl> {
    for (const DaemonAction& action : list) {
      const auto* send = std::get_if<SendToControl>(&action);
      if (send != nullptr && send->request.type == ControlRequestType::kCommand) {
        return *send;
      }
    }
    return std::nullopt;
  };
  const auto batch = find(actions);
  ASSERT_TRUE(batch);
  EXPECT_EQ(batch->request.command.claims.size(), 2U);
  actions.clear();
  session_.onReply(batch->request_id, std::nullopt, now_, actions);
  EXPECT_TRUE(session_.hasUnsentClaims());
  now_ += milliseconds(100);
  actions.clear();
  session_.tick(now_, actions);
  const auto again = find(actions);
  ASSERT_TRUE(again);
  ControlReply done;
  done.result.claims = {ClaimReply{true, ErrorKind::kNone, 0, ""}, ClaimReply{}};
  session_.onReply(again->request_id, done, now_, actions);
  EXPECT_EQ(session_.takeClaimResults().size(), 2U);
  EXPECT_FALSE(session_.hasUnsentClaims());
}

class FrontDoorTest : public testing::Test {
 protected:
  FrontDoorTest() {
    ConfigurationChange lookup;
    lookup.type = ChangeType::kSetWorkType;
    lookup.work_type = {"lookups", "records", "/", WorkKind::kLookup, 0};
    ConfigurationChange commit;
    commit.type = ChangeType::kSetWorkType;
    commit.work_type = {"lodgements", "records", "/lodge", WorkKind::kCommitOnce, 0};
    ConfigurationChange gold;
    gold.type = ChangeType::kSetClass;
    gold.priority_class = {"gold", 4, {"gold-key"}};
    EXPECT_FALSE(applyChanges({lookup, commit, gold}, configuration_));
  }
  FrontDecision decide(const std::string& path, const std::string& key = "") {
    FrontRequest request;
    request.service = "records";
    request.payload.path = path;
    request.caller_key = key;
    return door_.decide(request, configuration_, now_);
  }
  Configuration configuration_;
  FrontDoor door_{*findOverloadPolicy("ramppond"), 1};
  TimePoint now_ = seconds(1);
};

TEST_F(FrontDoorTest, MintsAContext) {
  const FrontDecision decision = decide("/records/1");
  EXPECT_EQ(decision.error, ErrorKind::kNone);
  EXPECT_EQ(decision.context.work_type, "lookups");
  EXPECT_EQ(decision.context.retry_allowance, kDefaultRetryAllowance);
  EXPECT_TRUE(decision.repeatable);
  EXPECT_NE(decision.context.request_id, decide("/records/1").context.request_id);
}

TEST_F(FrontDoorTest, AnUnknownKeyOrPathIsRefused) {
  EXPECT_EQ(decide("/records/1", "forged").error, ErrorKind::kUnknownCaller);
  EXPECT_EQ(decide("/records/1", "gold-key").error, ErrorKind::kNone);
  FrontRequest request;
  request.service = "nowhere";
  request.payload.path = "/";
  EXPECT_EQ(door_.decide(request, configuration_, now_).error, ErrorKind::kUnknownService);
}

TEST_F(FrontDoorTest, ACommitOnceRequestWithoutAKeyGetsOneOfItsOwn) {
  const FrontDecision first = decide("/lodge");
  const FrontDecision second = decide("/lodge");
  EXPECT_FALSE(first.context.idempotency_key.empty());
  EXPECT_NE(first.context.idempotency_key, second.context.idempotency_key);
  EXPECT_FALSE(first.repeatable);
}

TEST_F(FrontDoorTest, ShedsAgainstTheChainsCutAndProbes) {
  CallAnswer answer;
  answer.receiver_incarnation = 1;
  const FrontDecision decision = decide("/records/1");
  CallScope scope(decision.context, now_ + seconds(1));
  scope.observeCut(0);
  door_.onAnswer(scope, answer, now_);
  const FrontDecision shed = decide("/records/1");
  EXPECT_EQ(shed.error, ErrorKind::kOverloaded);
  EXPECT_GT(shed.retry_after.count(), 0);
  EXPECT_EQ(decide("/lodge").error, ErrorKind::kNone) << "another work type, another cut";
  now_ += milliseconds(400);
  EXPECT_EQ(decide("/records/1").error, ErrorKind::kNone) << "a probe";
  EXPECT_EQ(decide("/records/1").error, ErrorKind::kOverloaded) << "one probe at a time";
}

}  // namespace
}  // namespace ramppond
