#include "core/retries/retry_budget.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>
#include <ostream>
#include <string>
#include <vector>

#include "core/random.h"

namespace ramppond {
namespace {

// The limit of the platform: retries in any window of ten seconds, over all daemons.
constexpr auto window_slots = std::size_t(10);
constexpr auto allowed_ratio = 0.2;
constexpr auto allowed_extra = 55.0;
constexpr auto earned_share = retry_share{0.12};

struct fleet_case {
  const char* name;
  std::size_t daemons;
  std::vector<int> requests;  // of the whole fleet, by second
  std::size_t failing_from;   // second from which on every request requests a retry
};

// Keeps the name of a test the same in every run.
void PrintTo(const fleet_case& tested, std::ostream* out) {
  *out << tested.name;
}

auto steady(std::size_t seconds_long, int per_second) -> std::vector<int> {
  return std::vector<int>(seconds_long, per_second);
}

auto joined(std::vector<int> first, const std::vector<int>& second) -> std::vector<int> {
  first.insert(first.end(), second.begin(), second.end());
  return first;
}

class retry_budget_fleet : public testing::TestWithParam<fleet_case> {};

TEST_P(retry_budget_fleet, stays_within_the_ratio_in_any_window) {
  const auto& tested = GetParam();
  auto random = Random(7);
  auto fleet = std::vector<retry_budget>(tested.daemons, retry_budget(earned_share));
  auto retries = std::vector<double>();
  for (auto second = std::size_t(0); second < tested.requests.size(); ++second) {
    auto retried = 0;
    for (auto i = 0; i < tested.requests[second]; ++i) {
      auto& budget = fleet[random.below(fleet.size())];
      const auto now = TimePoint(seconds(second)) + Duration(i);
      budget.on_first_send(now);
      retried += second >= tested.failing_from && budget.take(now) ? 1 : 0;
    }
    // Requests in flight fail too, as many as the budget of a daemon allows to retry.
    for (auto& budget : fleet) {
      const auto now = TimePoint(seconds(second)) + milliseconds(500);
      while (second >= tested.failing_from && budget.take(now)) ++retried;
    }
    retries.push_back(retried);
  }
  for (auto from = std::size_t(0); from + window_slots <= retries.size(); ++from) {
    auto retried_in_window = 0.0, sent_in_window = 0.0;
    for (auto i = from; i < from + window_slots; ++i) {
      retried_in_window += retries[i];
      sent_in_window += tested.requests[i];
    }
    EXPECT_LE(retried_in_window, allowed_ratio * sent_in_window + allowed_extra)
        << "from second " << from;
  }
}

INSTANTIATE_TEST_SUITE_P(table, retry_budget_fleet,
                         testing::Values(fleet_case{"few_daemons", 15, steady(60, 200), 20},
                                         fleet_case{"many_daemons", 300, steady(60, 2000), 20},
                                         fleet_case{"many_daemons_little_traffic", 300,
                                                    steady(120, 60), 90},
                                         fleet_case{"storm_after_quiet", 70,
                                                    joined(steady(600, 20), steady(30, 40)), 600},
                                         fleet_case{"quiet_after_rush", 70,
                                                    joined(steady(30, 2000), steady(40, 200)), 40}),
                         [](const auto& info) { return std::string(info.param.name); });

TEST(retry_budget, allows_the_share_of_first_sends) {
  auto budget = retry_budget(earned_share);
  for (auto i = 0; i < 1000; ++i) budget.on_first_send(seconds(1));
  auto granted = 0;
  while (budget.take(seconds(2))) ++granted;
  EXPECT_GE(granted, 119);
  EXPECT_LE(granted, 120);
}

// A retry counts in the windows that begin with it too, so first sends pay for one window.
TEST(retry_budget, first_sends_pay_for_one_window_only) {
  auto budget = retry_budget(earned_share);
  for (auto i = 0; i < 1000; ++i) budget.on_first_send(seconds(1));
  EXPECT_TRUE(budget.take(seconds(11)));
  EXPECT_FALSE(budget.take(seconds(12)));
}

// When a service refuses many requests, runs end early and first sends become rare. First sends of
// the previous window still count; tokens of 0.12 that expire after five seconds allowed only 49
// retries here.
TEST(retry_budget, first_sends_of_the_previous_window_count) {
  auto budget = retry_budget(retry_share{0.16});
  auto retries = 0;
  for (auto ms = 0; ms < 30000; ms += 20) budget.on_first_send(milliseconds(ms));
  for (auto ms = 30000; ms < 38500; ms += 40) {
    budget.on_first_send(milliseconds(ms));
    retries += budget.take(milliseconds(ms)) ? 1 : 0;
  }
  EXPECT_GE(retries, 78);
  EXPECT_LE(retries, 80);
}

TEST(retry_budget, keeps_the_reserve_for_more_valuable_retries) {
  auto budget = retry_budget(earned_share);
  for (auto i = 0; i < 1000; ++i) budget.on_first_send(seconds(1));
  auto best = 0, others = 0;
  for (auto i = 0; i < 200; ++i) {
    others += budget.take(seconds(1), budget_reserve{0.5}) ? 1 : 0;
    best += i % 2 == 0 && budget.take(seconds(1)) ? 1 : 0;
  }
  EXPECT_NEAR(best + others, 120, 1);
  EXPECT_GE(best, 55);
}

// Guards against a fixed reserve: retries that reserve half got only half of the budget, 60, even
// without other retries.
TEST(retry_budget, keeps_no_reserve_without_requests_for_it) {
  auto budget = retry_budget(earned_share);
  for (auto i = 0; i < 1000; ++i) budget.on_first_send(seconds(1));
  auto granted = 0;
  while (budget.take(seconds(1), budget_reserve{0.5})) ++granted;
  EXPECT_NEAR(granted, 120, 1);
}

TEST(retry_budget, requests_for_the_reserve_expire_after_a_window) {
  auto budget = retry_budget(earned_share);
  for (auto i = 0; i < 100; ++i) budget.take(seconds(1));
  for (auto i = 0; i < 1000; ++i) budget.on_first_send(seconds(13));
  auto granted = 0;
  while (budget.take(seconds(13), budget_reserve{0.5})) ++granted;
  EXPECT_NEAR(granted, 120, 1);
}

// Guards against first come, first served at the beginning of an incident: without a forecast, the
// 120 retries were granted to the first requests of either kind.
TEST(retry_budget, keeps_what_better_retries_will_request_within_the_forecast) {
  auto budget = retry_budget(earned_share);
  for (auto i = 0; i < 1000; ++i) budget.on_first_send(seconds(1));
  auto best = 0, others = 0;
  for (auto ms = 1000; ms < 5000; ms += 50) {
    others += budget.take(milliseconds(ms), budget_reserve{0.9, seconds(10)}) ? 1 : 0;
    others += budget.take(milliseconds(ms), budget_reserve{0.9, seconds(10)}) ? 1 : 0;
    best += budget.take(milliseconds(ms)) ? 1 : 0;
  }
  EXPECT_EQ(best, 80);
  EXPECT_LE(best + others, 120);
}

// What is kept for an incident that has ended must be free within two tenths of a window.
TEST(retry_budget, forecast_ends_with_the_requests) {
  auto budget = retry_budget(earned_share);
  for (auto i = 0; i < 1000; ++i) budget.on_first_send(seconds(1));
  for (auto i = 0; i < 10; ++i) budget.take(seconds(1));
  EXPECT_FALSE(budget.take(seconds(2), budget_reserve{1, seconds(12)}));
  auto granted = 0;
  while (budget.take(seconds(3), budget_reserve{1, seconds(12)})) ++granted;
  EXPECT_NEAR(granted, 110, 1);
}

TEST(retry_budget, charges_beyond_the_budget_are_paid_by_later_first_sends) {
  auto budget = retry_budget(earned_share);
  for (auto i = 0; i < 30; ++i) budget.charge(seconds(1));
  for (auto i = 0; i < 250; ++i) budget.on_first_send(seconds(1));
  EXPECT_FALSE(budget.take(seconds(1)));
  for (auto i = 0; i < 20; ++i) budget.on_first_send(seconds(1));
  EXPECT_TRUE(budget.take(seconds(1)));
}

// Each daemon has about 0.12 of a retry in a window, never a whole one. Without the random draw 984
// daemons retry none of 1,960 requests.
TEST(retry_budget, large_fleet_with_little_traffic_retries_its_share) {
  auto random = Random(7);
  auto fleet = std::vector<retry_budget>(984, retry_budget(earned_share));
  auto requests = 0, retries = 0;
  for (auto second = 0; second < 40; ++second) {
    for (auto i = 0; i < 98; ++i) {
      auto& budget = fleet[random.below(fleet.size())];
      const auto now = TimePoint(seconds(second)) + Duration(i);
      budget.on_first_send(now);
      if (second >= 20) {
        ++requests;
        retries += budget.take(now, {}, {random.uniform()}) ? 1 : 0;
      }
    }
  }
  EXPECT_GT(retries, 0.08 * requests);
  EXPECT_LT(retries, 0.2 * requests);
}

TEST(retry_budget, fraction_is_spent_whatever_the_draw) {
  auto budget = retry_budget(earned_share);
  for (auto i = 0; i < 4; ++i) budget.on_first_send(seconds(1));  // 0.48
  EXPECT_FALSE(budget.take(seconds(1), {}, {0.5}));
  EXPECT_FALSE(budget.take(seconds(1), {}, {0.0}));
  for (auto i = 0; i < 4; ++i) budget.on_first_send(seconds(2));
  EXPECT_TRUE(budget.take(seconds(2), {}, {0.47}));
  EXPECT_FALSE(budget.take(seconds(2), {}, {0.0}));
}

struct shared_case {
  const char* name;
  std::size_t daemons;
  double shared;  // retries in ten seconds over all daemons
};

void PrintTo(const shared_case& tested, std::ostream* out) {
  *out << tested.name;
}

class shared_retries_fleet : public testing::TestWithParam<shared_case> {};

// Every daemon requests many retries per second and has no first sends.
TEST_P(shared_retries_fleet, stay_within_the_bound_in_any_window) {
  const auto& tested = GetParam();
  auto random = Random(7);
  auto fleet = std::vector<retry_budget>(tested.daemons, retry_budget(earned_share));
  for (auto& budget : fleet)
    budget.set_allowance(allowance_per_proxy({tested.shared, seconds(10)}, fleet.size()));
  auto retries = std::vector<double>();
  for (auto second = 0; second < 40; ++second) {
    auto retried = 0;
    for (auto& budget : fleet) {
      for (auto i = 0; i < 10; ++i) {
        retried += budget.take(seconds(second), {}, {random.uniform()}) ? 1 : 0;
      }
    }
    retries.push_back(retried);
  }
  for (auto from = std::size_t(0); from + window_slots <= retries.size(); ++from) {
    auto sent_in_window = 0.0;
    for (auto i = from; i < from + window_slots; ++i) sent_in_window += retries[i];
    EXPECT_LE(sent_in_window, tested.shared) << "from second " << from;
  }
  EXPECT_GE(std::accumulate(retries.begin(), retries.end(), 0.0), 0.6 * tested.shared);
}

INSTANTIATE_TEST_SUITE_P(table, shared_retries_fleet,
                         testing::Values(shared_case{"few_daemons", 12, 55},
                                         shared_case{"many_daemons", 85, 115},
                                         shared_case{"a_thousand_daemons", 984, 1040},
                                         shared_case{"two_thousand_daemons", 2000, 1040}),
                         [](const auto& info) { return std::string(info.param.name); });

TEST(retry_budget, allowance_is_zero_without_known_daemons) {
  EXPECT_EQ(allowance_per_proxy({0, seconds(10)}, 5).count, 0);
  EXPECT_EQ(allowance_per_proxy({55, seconds(10)}, 0).count, 0);
}

}  // namespace
}  // namespace ramppond
