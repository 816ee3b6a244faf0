#include "core/control/control_state.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "core/cbor_codec.h"

namespace ramppond {
namespace {

constexpr std::uint64_t kGroup = 99;

Command planCommand(const std::string& request_id, ConfigurationVersion base,
                    std::uint32_t allowance) {
  Command command;
  command.type = CommandType::kPlan;
  command.operator_request_id = request_id;
  command.base_version = base;
  ConfigurationChange change;
  change.type = ChangeType::kSetRetryAllowance;
  change.retry_allowance = allowance;
  command.changes = {change};
  return command;
}

Command planDecision(CommandType type, const std::string& request_id, std::uint64_t plan_id) {
  Command command;
  command.type = type;
  command.operator_request_id = request_id;
  command.plan_id = plan_id;
  return command;
}

Command claimCommand(CommandType type, const std::string& key, CallId holder,
                     std::int64_t clock_ms = 0) {
  Command command;
  command.type = type;
  command.leader_clock_ms = clock_ms;
  ClaimCommand claim;
  claim.key = key;
  claim.fingerprint = 5;
  claim.holder = holder;
  claim.outcome = Outcome::kRan;
  claim.status = 200;
  claim.body = "kept";
  command.claims = {claim};
  return command;
}

class ControlStateTest : public testing::Test {
 protected:
  CommandResult apply(const Command& command) { return state_.apply(command, {1, ++index_}); }
  ClaimReply claim(const std::string& key, CallId holder, std::int64_t clock_ms = 0) {
    return apply(claimCommand(CommandType::kClaim, key, holder, clock_ms)).claims.at(0);
  }

  ControlState state_{kGroup};
  std::uint64_t index_ = 0;
};

TEST_F(ControlStateTest, PlanTakesEffectOnlyOnConfirm) {
  const auto planned = apply(planCommand("p1", {}, 7));
  ASSERT_EQ(planned.error, ErrorKind::kNone);
  EXPECT_EQ(state_.configuration().retry_allowance, kDefaultRetryAllowance);
  const auto confirmed = apply(planDecision(CommandType::kConfirm, "c1", planned.plan_id));
  ASSERT_EQ(confirmed.error, ErrorKind::kNone);
  EXPECT_EQ(state_.configuration().retry_allowance, 7U);
  EXPECT_EQ(state_.configuration().version, confirmed.version);
}

TEST_F(ControlStateTest, SecondPlanOnSameBaseVersionIsRefusedOnConfirm) {
  const auto first = apply(planCommand("p1", {}, 7));
  const auto second = apply(planCommand("p2", {}, 8));
  const auto winner = apply(planDecision(CommandType::kConfirm, "c2", second.plan_id));
  const auto loser = apply(planDecision(CommandType::kConfirm, "c1", first.plan_id));
  EXPECT_EQ(winner.error, ErrorKind::kNone);
  EXPECT_EQ(loser.error, ErrorKind::kVersionConflict);
  EXPECT_NE(loser.reason.find("0.0"), std::string::npos) << loser.reason;
  EXPECT_NE(loser.reason.find(winner.version.toString()), std::string::npos) << loser.reason;
  EXPECT_EQ(state_.configuration().retry_allowance, 8U);
}

TEST_F(ControlStateTest, ResentCommandGetsFirstResult) {
  const auto planned = apply(planCommand("p1", {}, 7));
  EXPECT_EQ(apply(planCommand("p1", {}, 7)).plan_id, planned.plan_id);
  const auto confirmed = apply(planDecision(CommandType::kConfirm, "c1", planned.plan_id));
  const auto resent = apply(planDecision(CommandType::kConfirm, "c1", planned.plan_id));
  EXPECT_EQ(resent.error, ErrorKind::kNone);
  EXPECT_EQ(resent.version, confirmed.version);
}

TEST_F(ControlStateTest, ConfirmOfRejectedPlanIsRefused) {
  const auto planned = apply(planCommand("p1", {}, 7));
  EXPECT_EQ(apply(planDecision(CommandType::kReject, "r1", planned.plan_id)).error,
            ErrorKind::kNone);
  EXPECT_EQ(apply(planDecision(CommandType::kConfirm, "c1", planned.plan_id)).error,
            ErrorKind::kPlanClosed);
}

TEST_F(ControlStateTest, ClaimOfHeldKeyIsGrantedOnlyToItsHolder) {
  EXPECT_TRUE(claim("k", {1, 1}).granted);
  EXPECT_TRUE(claim("k", {1, 1}).granted) << "the holder repeats its claim after a lost reply";
  const ClaimReply other = claim("k", {2, 1});
  EXPECT_FALSE(other.granted);
  EXPECT_EQ(other.error, ErrorKind::kDuplicateInProgress);
}

TEST_F(ControlStateTest, ClaimOfCompletedKeyGetsStoredAnswer) {
  claim("k", {1, 1});
  apply(claimCommand(CommandType::kCompleteClaim, "k", {1, 1}));
  const ClaimReply repeat = claim("k", {2, 1});
  EXPECT_FALSE(repeat.granted);
  EXPECT_EQ(repeat.error, ErrorKind::kNone);
  EXPECT_EQ(repeat.status, 200U);
  EXPECT_EQ(repeat.body, "kept");
}

TEST_F(ControlStateTest, ClaimAfterHolderTimeoutIsDeniedAsUnknown) {
  claim("k", {1, 1}, 1000);
  const ClaimReply later = claim("k", {2, 1}, 1000 + kClaimTimeoutMs);
  EXPECT_FALSE(later.granted);
  EXPECT_EQ(later.error, ErrorKind::kDuplicateUnknown);
}

TEST_F(ControlStateTest, ReleasedKeyIsGrantedOnlyToAnotherAttempt) {
  claim("k", {1, 1});
  apply(claimCommand(CommandType::kReleaseClaim, "k", {1, 1}));
  EXPECT_FALSE(claim("k", {1, 1}).granted) << "late claim of the attempt that released the key";
  EXPECT_TRUE(claim("k", {1, 2}).granted);
}

TEST_F(ControlStateTest, ClaimAfterItsReleaseIsDenied) {
  apply(claimCommand(CommandType::kReleaseClaim, "k", {1, 1}));
  EXPECT_FALSE(claim("k", {1, 1}).granted);
}

TEST_F(ControlStateTest, ClaimWithOtherFingerprintIsDenied) {
  claim("k", {1, 1});
  Command other = claimCommand(CommandType::kClaim, "k", {2, 1});
  other.claims[0].fingerprint = 6;
  EXPECT_EQ(apply(other).claims.at(0).error, ErrorKind::kKeyReused);
}

TEST_F(ControlStateTest, ClaimsExpireAfterRetention) {
  claim("k", {1, 1}, 0);
  claim("other", {1, 2}, kClaimRetentionMs + 1);
  EXPECT_EQ(state_.claimCount(), 1U);
}

Command anyCommand(std::size_t step) {
  const auto choice = *rc::gen::inRange(0, 6);
  const auto number = *rc::gen::inRange<std::uint64_t>(1, 5);
  const std::string key = "k" + std::to_string(number);
  const CallId holder{number, *rc::gen::inRange<std::uint64_t>(1, 4)};
  const auto clock = static_cast<std::int64_t>(step) * 1000;
  switch (choice) {
    case 0:
      return planCommand("p" + std::to_string(step), {}, 3);
    case 1:
      return planDecision(CommandType::kConfirm, "c" + std::to_string(step), number);
    case 2:
      return planDecision(CommandType::kReject, "r" + std::to_string(step), number);
    case 3:
      return claimCommand(CommandType::kCompleteClaim, key, holder, clock);
    case 4:
      return claimCommand(CommandType::kReleaseClaim, key, holder, clock);
    default:
      return claimCommand(CommandType::kClaim, key, holder, clock);
  }
}

TEST(ControlStateProperties, RestoredSnapshotAppliesCommandsLikeOriginal) {
  EXPECT_TRUE(rc::check([] {
    const auto steps = *rc::gen::inRange<std::size_t>(1, 40);
    const auto cut = *rc::gen::inRange<std::size_t>(0, steps);
    ControlState original(kGroup);
    ControlState restored(kGroup);
    for (std::size_t step = 0; step < steps; ++step) {
      if (step == cut) {
        const auto decoded = decode<StoredControlState>(encode(original.snapshot()));
        RC_ASSERT(decoded.has_value());
        restored.restore(*decoded);
      }
      const Command command = anyCommand(step);
      const auto first = original.apply(command, {1, step + 1});
      if (step >= cut) {
        const auto second = restored.apply(command, {1, step + 1});
        RC_ASSERT(encode(first) == encode(second));
      }
    }
    RC_ASSERT(encode(original.snapshot()) == encode(restored.snapshot()));
  }));
}

TEST(ControlStateProperties, KeyIsNeverGrantedToTwoAttemptsThatMayHaveRun) {
  EXPECT_TRUE(rc::check([] {
    ControlState state(kGroup);
    // Attempts that were granted the key and have not released it.
    std::map<std::string, std::set<CallId>> running;
    const auto steps = *rc::gen::inRange<std::size_t>(1, 60);
    for (std::size_t step = 0; step < steps; ++step) {
      const Command command = anyCommand(step);
      const auto result = state.apply(command, {1, step + 1});
      if (command.type == CommandType::kClaim && result.claims.at(0).granted) {
        running[command.claims[0].key].insert(command.claims[0].holder);
      } else if (command.type == CommandType::kReleaseClaim) {
        running[command.claims[0].key].erase(command.claims[0].holder);
      }
      for (const auto& [key, holders] : running) {
        RC_ASSERT(holders.size() <= 1U);
      }
    }
  }));
}

}  // namespace
}  // namespace ramppond
