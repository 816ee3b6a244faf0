#include "core/call_port/call_scope.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "core/call_port/retry_token_bucket.h"
#include "core/call_port/seen_calls.h"

namespace ramppond {
namespace {

CallContext contextWith(std::uint32_t allowance) {
  CallContext context;
  context.retry_allowance = allowance;
  return context;
}

// One node of a random call tree: makes calls, retries them, loses answers. Returns the number of
// retries of the whole subtree and, by `unspent`, what goes back with the answer.
std::uint32_t runNode(std::uint32_t allowance, int depth, std::uint32_t& unspent) {
  CallScope scope(contextWith(allowance), seconds(1));
  std::uint32_t retries = 0;
  const int calls = depth == 0 ? 0 : *rc::gen::inRange(0, 4);
  for (int call = 0; call < calls; ++call) {
    for (;;) {
      const std::uint32_t lent = scope.lend();
      std::uint32_t returned = 0;
      retries += runNode(lent, depth - 1, returned);
      const auto fate = *rc::gen::inRange(0, 3);
      if (fate != 0) {
        scope.giveBack(lent, returned);  // The answer came.
      }
      const bool failed = fate != 2;
      if (!failed || !scope.spendRetry()) {
        break;
      }
      retries += 1;
    }
  }
  unspent = scope.close();
  return retries;
}

TEST(CallScope, NoTreeRetriesMoreThanItsAllowance) {
  EXPECT_TRUE(rc::check([] {
    const auto allowance = *rc::gen::inRange<std::uint32_t>(0, 9);
    const auto depth = *rc::gen::inRange(1, 5);
    std::uint32_t unspent = 0;
    const std::uint32_t retries = runNode(allowance, depth, unspent);
    RC_ASSERT(retries + unspent <= allowance);
  }));
}

TEST(CallScope, AChainOf29HopsKeepsTheBound) {
  constexpr int kHops = 29;
  constexpr std::uint32_t kAllowance = 3;
  // Every hop lends, every answer is lost, every hop retries while it may.
  std::uint32_t retries = 0;
  std::uint32_t held = kAllowance;
  for (int hop = 0; hop < kHops; ++hop) {
    CallScope scope(contextWith(held), seconds(1));
    held = scope.lend();
    while (scope.spendRetry()) {
      retries += 1;
    }
  }
  EXPECT_LE(retries, kAllowance);
}

TEST(CallScope, NothingComesBackAfterTheAnswer) {
  CallScope scope(contextWith(4), seconds(1));
  const std::uint32_t lent = scope.lend();
  EXPECT_EQ(lent, 2U);
  EXPECT_EQ(scope.close(), 2U);
  scope.giveBack(lent, lent);
  EXPECT_EQ(scope.retries(), 0U);
  EXPECT_FALSE(scope.spendRetry());
  EXPECT_EQ(scope.lend(), 0U);
}

TEST(CallScope, NeverTakesBackMoreThanItLent) {
  CallScope scope(contextWith(4), seconds(1));
  const std::uint32_t lent = scope.lend();
  scope.giveBack(lent, 100);
  EXPECT_EQ(scope.retries(), 4U);
}

TEST(CallScope, BlockedTimeCountsParallelCallsOnce) {
  CallScope scope(contextWith(0), seconds(1));
  scope.callStarted(1, milliseconds(0));
  scope.callStarted(2, milliseconds(5));
  scope.callEnded(1, milliseconds(10));
  scope.callEnded(2, milliseconds(20));
  EXPECT_EQ(scope.blocked(milliseconds(50)), milliseconds(20));
}

TEST(RetryTokenBucket, RetriesAreATenthOfTheSuccessesInTheLongRun) {
  RetryTokenBucket bucket;
  while (bucket.take()) {
  }
  int retries = 0;
  for (int success = 0; success < 1000; ++success) {
    bucket.onSuccess();
    retries += bucket.take() ? 1 : 0;
  }
  EXPECT_LE(retries, 100);
  EXPECT_GE(retries, 99);
}

TEST(SeenCalls, AnIdIsTakenOnceWhateverTheOrder) {
  EXPECT_TRUE(rc::check([] {
    SeenCalls seen;
    std::set<std::uint64_t> taken;
    const auto ids = *rc::gen::container<std::vector<std::uint64_t>>(
        rc::gen::inRange<std::uint64_t>(1, 3 * SeenCalls::kWindow));
    for (const std::uint64_t sequence : ids) {
      const bool first = seen.firstTime({7, sequence}, seconds(1));
      RC_ASSERT(!(first && taken.count(sequence) != 0));
      if (first) {
        taken.insert(sequence);
      }
    }
  }));
}

TEST(SeenCalls, SendersAreForgottenOnlyAfterALongSilence) {
  SeenCalls seen;
  EXPECT_TRUE(seen.firstTime({7, 1}, seconds(0)));
  seen.forgetIdleSenders(SeenCalls::kSenderMemory);
  EXPECT_FALSE(seen.firstTime({7, 1}, seconds(1)));
  seen.forgetIdleSenders(SeenCalls::kSenderMemory + seconds(10));
  EXPECT_EQ(seen.senderCount(), 0U);
}

}  // namespace
}  // namespace ramppond
