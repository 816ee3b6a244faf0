#include "lab/register_checker.h"

#include <gtest/gtest.h>

namespace ramppond {
namespace {

RegisterOperation readOf(int from, int to, std::uint64_t version) {
  return {RegisterOperationType::kRead, "reader", TimePoint(from), TimePoint(to), {}, {1, version}};
}

RegisterOperation confirmOf(int from, int to, std::uint64_t base, std::uint64_t version) {
  return {RegisterOperationType::kConfirm,
          "operator",
          TimePoint(from),
          TimePoint(to),
          {1, base},
          {1, version}};
}

TEST(RegisterChecker, PassesConcurrentOperationsInAnyOrder) {
  EXPECT_TRUE(checkLinearizable({confirmOf(0, 10, 1, 2), readOf(1, 9, 1), readOf(2, 8, 2),
                                 confirmOf(11, 15, 2, 3), readOf(16, 17, 3)})
                  .empty());
}

TEST(RegisterChecker, FindsAStaleRead) {
  EXPECT_EQ(checkLinearizable({confirmOf(0, 5, 1, 2), readOf(6, 7, 1)}).size(), 1U);
}

TEST(RegisterChecker, FindsReadsThatGoBack) {
  EXPECT_EQ(checkLinearizable({readOf(0, 1, 3), readOf(2, 3, 2)}).size(), 1U);
}

TEST(RegisterChecker, FindsALostUpdate) {
  EXPECT_EQ(checkLinearizable({confirmOf(0, 5, 1, 2), confirmOf(0, 6, 1, 3)}).size(), 1U);
}

TEST(RegisterChecker, FindsAReadFromTheFuture) {
  EXPECT_EQ(checkLinearizable({readOf(0, 1, 2), confirmOf(2, 3, 1, 2)}).size(), 1U);
}

}  // namespace
}  // namespace ramppond
