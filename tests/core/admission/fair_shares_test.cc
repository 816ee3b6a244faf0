#include "core/admission/fair_shares.h"

#include <gtest/gtest.h>

namespace ramppond {
namespace {

constexpr auto cost = milliseconds(100);
constexpr double slots = 4;  // 40 requests a second

/// Offers requests of several callers at steady rates and counts those within their shares.
class offers {
 public:
  void play(const std::vector<std::pair<share_key, int>>& per_second, Duration length) {
    for (const auto end = this->now + length; this->now < end; this->now += milliseconds(5)) {
      for (const auto& [key, rate] : per_second) {
        this->due[key] += rate * 0.005;
        for (; this->due[key] >= 1; this->due[key] -= 1) {
          this->offer(key);
        }
      }
    }
  }

  void offer(const share_key& key) {
    const auto id = this->next_id++;
    const auto standing = this->shares.judge(key, cost, slots, this->now);
    this->within[key] += standing == share_standing::within ? 1 : 0;
    this->shares.on_queued(id, key, cost, this->now);
    this->shares.on_dequeued(id);
    this->shares.on_ended(id, cost, this->now);
  }

  fair_shares shares;
  std::map<share_key, int> within;
  TimePoint now = seconds(1);

 private:
  std::map<share_key, double> due;
  std::uint64_t next_id = 1;
};

TEST(fair_shares, unused_parts_go_to_callers_with_demand) {
  auto run = offers();
  run.play({{{1, "small"}, 5}, {{1, "middle"}, 10}, {{1, "large"}, 200}}, seconds(10));
  run.within.clear();
  run.play({{{1, "small"}, 5}, {{1, "middle"}, 10}, {{1, "large"}, 200}}, seconds(10));
  EXPECT_EQ((run.within[{1, "small"}]), 50);
  EXPECT_EQ((run.within[{1, "middle"}]), 100);
  // 40 requests a second less 15, of which 97% are divided.
  EXPECT_NEAR((run.within[{1, "large"}]), 238, 15);
  EXPECT_NEAR(run.shares.excess({1, "large"}, run.now), 1 - 23.8 / 200, 0.03);
}

TEST(fair_shares, urgent_rank_is_served_first) {
  auto run = offers();
  run.play({{{0, "urgent"}, 30}, {{2, "other"}, 30}}, seconds(10));
  run.play({{{0, "second"}, 1}, {{2, "second"}, 1}}, milliseconds(1010));
  run.play({{{0, "urgent"}, 30}, {{0, "second"}, 1}, {{2, "other"}, 30}, {{2, "second"}, 1}},
           seconds(5));
  EXPECT_EQ(run.shares.excess({0, "urgent"}, run.now), 0);
  EXPECT_GT(run.shares.excess({2, "other"}, run.now), 0.5);
}

// Otherwise equal callers that exceed the service together are refused after work was done for
// them.
TEST(fair_shares, variation_around_an_equal_part_is_no_excess) {
  auto run = offers();
  auto load = std::vector<std::pair<share_key, int>>{{{1, "busier"}, 8}, {{1, "large"}, 40}};
  for (auto number = 0; number < 8; ++number) {
    load.push_back({{1, std::to_string(number)}, 5});
  }
  run.play(load, seconds(5));
  EXPECT_EQ(run.shares.excess({1, "busier"}, run.now), 0);
  EXPECT_GT(run.shares.excess({1, "large"}, run.now), 0.5);
}

// A limit from an earlier load must not outlive that load.
TEST(fair_shares, limit_of_a_rank_ends_with_its_load) {
  auto run = offers();
  run.play({{{1, "large"}, 200}, {{1, "other"}, 1}}, seconds(5));
  run.play({}, seconds(20));
  run.play({{{1, "other"}, 1}, {{2, "new"}, 1}}, milliseconds(1500));
  for (auto count = 0; count < 20; ++count) {
    run.offer({1, "other"});
  }
  EXPECT_EQ(run.shares.excess({1, "other"}, run.now), 0);
}

// Otherwise the edge would shed requests of a caller that takes nothing from anybody.
TEST(fair_shares, caller_that_is_alone_has_no_excess) {
  auto run = offers();
  run.play({{{1, "large"}, 200}}, seconds(10));
  EXPECT_EQ(run.shares.excess({1, "large"}, run.now), 0);
  run.offer({1, "other"});
  EXPECT_GT(run.shares.excess({1, "large"}, run.now), 0.5);
}

TEST(fair_shares, no_excess_while_nothing_is_queued) {
  auto run = offers();
  run.play({{{1, "large"}, 200}, {{1, "other"}, 1}}, seconds(5));
  ASSERT_GT(run.shares.excess({1, "large"}, run.now), 0.5);
  EXPECT_EQ(run.shares.excess({1, "large"}, run.now + seconds(2)), 0);
}

TEST(fair_shares, tracks_ten_thousand_callers_and_evicts_idle_ones_first) {
  auto shares = fair_shares();
  const auto busy = share_key{1, "busy"};
  const auto now = TimePoint(seconds(1));
  for (auto id = 1; id <= 200; ++id) {
    shares.judge(busy, cost, slots, now);
    shares.on_queued(id, busy, cost, now);
  }
  for (auto number = 0; number < 20000; ++number) {
    shares.judge({1, std::to_string(number)}, cost, slots, now);
  }
  EXPECT_EQ(shares.callers(), 10000U);
  const auto later = now + milliseconds(200);
  shares.judge({1, "last"}, cost, slots, later);
  EXPECT_GT(shares.excess(busy, later), 0);
}

TEST(fair_shares, wrong_costs_are_clamped) {
  auto shares = fair_shares();
  auto now = TimePoint(seconds(1));
  auto id = std::uint64_t(1);
  for (const auto wrong : {Duration(0), Duration(-5), Duration::max(), Duration::min()}) {
    shares.judge({1, "wrong"}, wrong, slots, now);
    shares.on_queued(id, {1, "wrong"}, wrong, now);
    shares.on_ended(id++, wrong, now);
  }
  now += seconds(20);
  EXPECT_EQ(shares.judge({1, "wrong"}, cost, slots, now), share_standing::within);
  EXPECT_EQ(shares.judge({1, "other"}, cost, slots, now), share_standing::within);
}

TEST(fair_shares, unknown_requests_are_ignored) {
  auto shares = fair_shares();
  shares.on_ended(7, cost, seconds(1));
  shares.on_unserved(7);
  shares.on_dequeued(7);
  EXPECT_EQ(shares.callers(), 0U);
}

}  // namespace
}  // namespace ramppond
