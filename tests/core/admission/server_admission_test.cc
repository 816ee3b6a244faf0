#include "core/admission/server_admission.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace ramppond {
namespace {

constexpr Duration kPatience = milliseconds(100);

TEST(ServerAdmission, NeverMoreUnderWayThanSlots) {
  rc::check("under way stays within the slots, and every request ends in one way", [] {
    const auto slots = *rc::gen::inRange<std::uint32_t>(1, 40);
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
    ServerAdmission admission;
    admission.setSlots(slots);
    AdmissionId next = 1;
    TimePoint now{0};
    std::size_t running = 0;
    std::size_t waiting = 0;
    for (const int step : steps) {
      now += milliseconds(20);
      if (step <= 1) {
        const auto verdict =
            admission.offer({next++, static_cast<std::uint32_t>(step), kPatience}, now);
        running += verdict == AdmissionVerdict::kDispatch ? 1 : 0;
        waiting += verdict == AdmissionVerdict::kWait ? 1 : 0;
      } else if (step == 2 && running > 0) {
        running -= 1;
        admission.onFinished(now, ServerOutcome::kAnswered, now + milliseconds(10));
      } else {
        waiting -= admission.takeExpired(now).size();
      }
      while (admission.takeDispatchable(now)) {
        running += 1;
        waiting -= 1;
      }
      RC_ASSERT(running == admission.underWay());
      RC_ASSERT(waiting == admission.waiting());
      RC_ASSERT(running <= slots);
    }
  });
}

TEST(ServerAdmission, TheMoreUrgentGoesFirst) {
  ServerAdmission admission;
  admission.setSlots(1);
  EXPECT_EQ(admission.offer({1, 2, kPatience}, TimePoint(0)), AdmissionVerdict::kDispatch);
  EXPECT_EQ(admission.offer({2, 2, kPatience}, TimePoint(0)), AdmissionVerdict::kWait);
  EXPECT_EQ(admission.offer({3, 0, kPatience}, TimePoint(0)), AdmissionVerdict::kWait);
  EXPECT_EQ(admission.takeDispatchable(TimePoint(0)), std::nullopt);
  admission.onFinished(TimePoint(0), ServerOutcome::kAnswered, TimePoint(0));
  EXPECT_EQ(admission.takeDispatchable(TimePoint(0)), AdmissionId{3});
}

struct OrderRow {
  const char* name;
  AdmissionRequest first;  ///< Offered before the second; both must wait.
  AdmissionRequest second;
  AdmissionId next;  ///< The one that is dispatched next.
};

void PrintTo(const OrderRow& row, std::ostream* out) {
  *out << row.name;
}

class AdmissionOrderTest : public testing::TestWithParam<OrderRow> {};

TEST_P(AdmissionOrderTest, IsByRankThenByTheTimeWhenItIsDue) {
  ServerAdmission admission;
  admission.setSlots(1);
  admission.offer({9, 0, kPatience}, TimePoint(0));
  ASSERT_EQ(admission.offer(GetParam().first, TimePoint(0)), AdmissionVerdict::kWait);
  ASSERT_EQ(admission.offer(GetParam().second, milliseconds(1)), AdmissionVerdict::kWait);
  admission.onFinished(TimePoint(0), ServerOutcome::kAnswered, milliseconds(1));
  EXPECT_EQ(admission.takeDispatchable(milliseconds(1)), GetParam().next);
}

AdmissionRequest call(AdmissionId id, std::uint32_t priority, Duration patience) {
  return {id, priority, patience, patience, true};
}

AdmissionRequest fromClient(AdmissionId id, std::uint32_t priority, Duration patience) {
  return {id, priority, patience, patience, false};
}

constexpr Duration kLongPatience = milliseconds(500);

INSTANTIATE_TEST_SUITE_P(
    Table, AdmissionOrderTest,
    testing::Values(OrderRow{"FirstComeOfEquals", call(1, 1, kPatience * 2),
                             call(2, 1, kPatience * 2), 1},
                    OrderRow{"AnUrgentClientBeforeACall", call(1, 1, kPatience * 2),
                             fromClient(2, 0, kLongPatience), 2},
                    OrderRow{"AClientThatMustBeServedSoonBeforeACall", call(1, 1, kLongPatience),
                             fromClient(2, 2, kPatience * 2), 2},
                    OrderRow{"AClientThatCanWaitBehindACall", fromClient(1, 2, kLongPatience),
                             call(2, 1, kPatience * 2), 2},
                    OrderRow{"AShortCallBeforeALongClient",
                             {1, 2, kPatience * 2, kPatience * 2, false, milliseconds(870)},
                             {2, 1, kPatience * 4, kPatience * 4, true, milliseconds(55)},
                             2},
                    OrderRow{"RankBeforePatienceAmongClients", fromClient(1, 2, kPatience * 2),
                             fromClient(2, 1, kLongPatience), 2}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(ServerAdmission, ARequestOnceTakenForACallDoesNotSetTheRankForEver) {
  ServerAdmission admission;
  admission.setSlots(1);
  admission.offer(call(1, 0, kPatience), TimePoint(0));
  const TimePoint later = seconds(10);
  ASSERT_EQ(admission.offer(call(2, 1, kPatience), later), AdmissionVerdict::kWait);
  ASSERT_EQ(admission.offer(fromClient(3, 2, kPatience / 2), later), AdmissionVerdict::kWait);
  ASSERT_EQ(admission.offer(fromClient(4, 0, kPatience), later), AdmissionVerdict::kWait);
  admission.onFinished(TimePoint(0), ServerOutcome::kAnswered, later);
  EXPECT_EQ(admission.takeDispatchable(later), AdmissionId{4});
}

TEST(ServerAdmission, WhoeverWaitsTooLongIsGivenUpOnTime) {
  ServerAdmission admission;
  admission.setSlots(1);
  admission.offer({1, 0, kPatience}, TimePoint(0));
  admission.offer({2, 0, kPatience}, TimePoint(0));
  EXPECT_EQ(admission.nextExpiry(), kPatience);
  EXPECT_TRUE(admission.takeExpired(kPatience - Duration(1)).empty());
  EXPECT_EQ(admission.takeExpired(kPatience), std::vector<AdmissionId>{2});
  admission.onFinished(TimePoint(0), ServerOutcome::kNoAnswer, kPatience);
  EXPECT_EQ(admission.takeDispatchable(kPatience), std::nullopt);
}

TEST(ServerAdmission, ARequestThatCannotBeServedInTimeIsRefusedAtOnce) {
  ServerAdmission admission;
  admission.setSlots(1);
  for (int finished = 0; finished < 200; ++finished) {
    admission.offer({1, 0, kPatience}, TimePoint(0));
    admission.onFinished(TimePoint(0), ServerOutcome::kAnswered, seconds(1));
  }
  admission.offer({2, 0, kPatience}, TimePoint(0));
  EXPECT_EQ(admission.offer({3, 0, kPatience}, TimePoint(0)), AdmissionVerdict::kRefuse);
}

void finishOne(ServerAdmission& admission, ServerOutcome outcome, Duration took) {
  admission.offer({1, 0, kPatience}, TimePoint(0));
  admission.onFinished(TimePoint(0), outcome, took);
}

TEST(ServerAdmission, LostAnswersShowAndAreForgotten) {
  ServerAdmission admission;
  for (int lost = 0; lost < 50; ++lost) {
    finishOne(admission, lost % 2 == 0 ? ServerOutcome::kAnswered : ServerOutcome::kNoAnswer,
              milliseconds(50));
  }
  EXPECT_GT(admission.failedPermille(), 300U);
  for (int answered = 0; answered < 100; ++answered) {
    finishOne(admission, ServerOutcome::kAnswered, milliseconds(50));
  }
  EXPECT_LT(admission.failedPermille(), 10U);
}

struct OutcomeCase {
  const char* name;
  ServerOutcome outcome;
  bool counts_as_work;     ///< Its duration says how fast the server is.
  bool counts_as_failure;  ///< It raises the share of failed requests.
};

void PrintTo(const OutcomeCase& tested, std::ostream* out) {
  *out << tested.name;
}

class ServerOutcomeTest : public testing::TestWithParam<OutcomeCase> {};

TEST_P(ServerOutcomeTest, MovesWhatItTellsOfTheServer) {
  ServerAdmission admission;
  const Duration before = admission.serviceTime(TimePoint(0));
  for (int ended = 0; ended < 100; ++ended) {
    finishOne(admission, GetParam().outcome, milliseconds(1));
  }
  EXPECT_EQ(admission.serviceTime(TimePoint(0)) < before, GetParam().counts_as_work);
  EXPECT_EQ(admission.failedPermille() > 900, GetParam().counts_as_failure);
}

INSTANTIATE_TEST_SUITE_P(
    Table, ServerOutcomeTest,
    testing::Values(OutcomeCase{"Answered", ServerOutcome::kAnswered, true, false},
                    OutcomeCase{"Failed", ServerOutcome::kFailed, false, true},
                    OutcomeCase{"Deadline", ServerOutcome::kDeadline, true, false},
                    OutcomeCase{"NotRun", ServerOutcome::kNotRun, false, true},
                    OutcomeCase{"Lost", ServerOutcome::kLost, false, true},
                    OutcomeCase{"NoAnswer", ServerOutcome::kNoAnswer, false, true},
                    OutcomeCase{"Withdrawn", ServerOutcome::kWithdrawn, false, false}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(ServerAdmission, NeverMoreUnderWayThanConnections) {
  ServerAdmission admission;
  admission.setSlots(100, 10);
  EXPECT_LE(admission.limit(), 10U);
  admission.setSlots(5, 10);
  EXPECT_LE(admission.limit(), 5U);
}

TEST(ServerAdmission, AServerThatTurnsSlowShowsBeforeItAnswers) {
  ServerAdmission admission;
  admission.setSlots(10);
  admission.offer({1, 0, kPatience}, TimePoint(0));
  admission.offer({2, 0, kPatience}, TimePoint(0));
  EXPECT_EQ(admission.serviceTime(seconds(2)), seconds(2));
  admission.onFinished(TimePoint(0), ServerOutcome::kWithdrawn, seconds(2));
  admission.onFinished(TimePoint(0), ServerOutcome::kWithdrawn, seconds(2));
  EXPECT_LT(admission.serviceTime(seconds(2)), milliseconds(100));
}

class LimitedAdmission : public testing::Test {
 protected:
  LimitedAdmission() {
    admission_.setSlots(100);
    admission_.setRate(request_rate{10}, TimePoint(0));
  }
  ServerAdmission admission_;
};

TEST_F(LimitedAdmission, WaitsForItsPlaceInTheRateAndTheMoreUrgentGoesFirst) {
  EXPECT_EQ(admission_.offer({1, 2, kLongPatience}, TimePoint(0)), AdmissionVerdict::kWait);
  EXPECT_EQ(admission_.offer({2, 0, kLongPatience}, TimePoint(0)), AdmissionVerdict::kWait);
  EXPECT_TRUE(admission_.isRateLimited());
  EXPECT_EQ(admission_.nextRateToken(TimePoint(0)), milliseconds(100));
  EXPECT_EQ(admission_.takeDispatchable(milliseconds(99)), std::nullopt);
  EXPECT_EQ(admission_.takeDispatchable(milliseconds(100)), AdmissionId{2});
  EXPECT_EQ(admission_.takeDispatchable(milliseconds(100)), std::nullopt);
  EXPECT_EQ(admission_.takeDispatchable(milliseconds(200)), AdmissionId{1});
  EXPECT_EQ(admission_.nextRateToken(milliseconds(200)), std::nullopt);
}

TEST_F(LimitedAdmission, RefusesAtOnceWhatWouldWaitLongerThanItMay) {
  EXPECT_EQ(admission_.offer({1, 0, milliseconds(99)}, TimePoint(0)),
            AdmissionVerdict::kRefuseForRate);
  EXPECT_EQ(admission_.offer({2, 0, kPatience}, TimePoint(0)), AdmissionVerdict::kWait);
  EXPECT_EQ(admission_.offer({3, 0, kPatience}, TimePoint(0)), AdmissionVerdict::kRefuseForRate);
  EXPECT_EQ(admission_.failedPermille(), 0U);
}

TEST_F(LimitedAdmission, APlaceThatWasNotUsedIsThereAgain) {
  const TimePoint now = milliseconds(100);
  EXPECT_EQ(admission_.offer({1, 0, kPatience}, now), AdmissionVerdict::kDispatch);
  admission_.onFinished(now, ServerOutcome::kWithdrawn, now);
  admission_.onNotSent(now);
  EXPECT_EQ(admission_.offer({2, 0, kPatience}, now), AdmissionVerdict::kDispatch);
}

TEST_F(LimitedAdmission, ARateThatBindsRaisesTheShedLevelWhileSlotsAreIdle) {
  TimePoint now{0};
  for (AdmissionId id = 1; id <= 200; ++id) {
    now += milliseconds(10);
    admission_.offer({id, 0, kPatience, kPatience}, now);
    admission_.takeExpired(now);
    admission_.takeDispatchable(now);
  }
  EXPECT_GT(admission_.shedLevel(now).value, 0.5);
  EXPECT_GT(admission_.demand(now), 5);
}

}  // namespace
}  // namespace ramppond
