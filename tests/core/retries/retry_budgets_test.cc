#include "core/retries/retry_budgets.h"

#include <gtest/gtest.h>

namespace ramppond {
namespace {

// Whole retries that are paid for after `first_sends`, without any draw for parts of one.
auto paid(retry_budget& budget, int first_sends) -> int {
  const auto now = seconds(100);
  for (auto i = 0; i < first_sends; ++i) {
    budget.on_first_send(now);
  }
  auto count = 0;
  while (count < first_sends && budget.take(now)) {
    ++count;
  }
  return count;
}

TEST(retry_budgets, use_a_part_of_the_platforms_ratio) {
  auto budgets = retry_budgets(0.5, {});
  EXPECT_EQ(paid(budgets.of("a"), 1000), 400);
}

TEST(retry_budgets, are_apart_for_each_service) {
  auto budgets = retry_budgets(0.5, {});
  EXPECT_EQ(paid(budgets.of("a"), 100), 40);
  EXPECT_EQ(paid(budgets.of("b"), 100), 40);
  EXPECT_EQ(paid(budgets.of("a"), 0), 0);
}

TEST(retry_budgets, share_the_allowance_also_with_budgets_made_later) {
  auto budgets = retry_budgets(0, {80, seconds(10)});
  budgets.of("before");
  EXPECT_FALSE(budgets.of("before").take(seconds(100)));
  budgets.set_fleet_size(2, fleet_discovery_time);  // a quarter of 80, by two
  EXPECT_EQ(paid(budgets.of("before"), 100), 10);
  EXPECT_EQ(paid(budgets.of("later"), 100), 10);
}

TEST(retry_budgets, have_no_part_of_the_allowance_before_the_fleet_is_known) {
  auto budgets = retry_budgets(0, {80, seconds(10)});
  budgets.set_fleet_size(2, fleet_discovery_time - seconds(1));
  EXPECT_EQ(paid(budgets.of("a"), 100), 0);
}

}  // namespace
}  // namespace ramppond
