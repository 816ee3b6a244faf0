#include "core/rate_limit/rate_bucket.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <vector>

namespace ramppond {
namespace {

/// Requests that are dispatched when one is offered each millisecond.
auto dispatched(rate_bucket& bucket, TimePoint from, Duration time) -> int {
  auto taken = 0;
  for (auto now = from; now < from + time; now += milliseconds(1)) {
    bucket.on_offer(now);
    taken += bucket.take(now) ? 1 : 0;
  }
  return taken;
}

TEST(rate_bucket, without_a_rate_lets_everything_pass) {
  auto bucket = rate_bucket();
  EXPECT_EQ(dispatched(bucket, seconds(1), seconds(1)), 1000);
  EXPECT_EQ(bucket.demand(seconds(2)), 0);
  EXPECT_EQ(bucket.wait_for(100, seconds(2)), Duration(0));
}

TEST(rate_bucket, begins_without_places) {
  auto bucket = rate_bucket();
  bucket.set(request_rate{10}, seconds(60));
  EXPECT_FALSE(bucket.take(seconds(60)));
  EXPECT_EQ(bucket.wait_for(1, seconds(60)), milliseconds(100));
  EXPECT_EQ(bucket.wait_for(3, seconds(60)), milliseconds(300));
  EXPECT_TRUE(bucket.take(seconds(60) + milliseconds(100)));
}

TEST(rate_bucket, keeps_no_more_after_a_pause_than_a_quarter_of_a_second_allows) {
  auto bucket = rate_bucket();
  bucket.set(request_rate{40}, seconds(1));
  auto burst = 0;
  while (bucket.take(seconds(100))) {
    burst += 1;
  }
  EXPECT_EQ(burst, 10);
}

TEST(rate_bucket, gives_a_place_back_that_was_not_used) {
  auto bucket = rate_bucket();
  bucket.set(request_rate{1}, seconds(0));
  ASSERT_TRUE(bucket.take(seconds(1)));
  EXPECT_FALSE(bucket.take(seconds(1)));
  bucket.return_token(seconds(1));
  EXPECT_TRUE(bucket.take(seconds(1)));
}

TEST(rate_bucket, a_change_hands_out_no_places) {
  auto bucket = rate_bucket();
  bucket.set(request_rate{4}, seconds(0));
  const auto between_places = TimePoint(milliseconds(2100));
  dispatched(bucket, seconds(0), between_places);
  for (const auto rate : {400.0, 4.0, 400.0, 4.0}) {
    bucket.set(request_rate{rate}, between_places);
    EXPECT_FALSE(bucket.take(between_places));
  }
}

TEST(rate_bucket, tries_a_server_that_names_zero_now_and_then) {
  auto bucket = rate_bucket();
  bucket.set(request_rate{0}, seconds(0));
  EXPECT_EQ(dispatched(bucket, seconds(0), seconds(12)), 2);
}

TEST(rate_bucket, demand_counts_what_is_offered_whether_or_not_it_passes) {
  auto bucket = rate_bucket();
  dispatched(bucket, seconds(0), seconds(5));
  bucket.set(request_rate{100}, seconds(5));
  EXPECT_NEAR(bucket.demand(seconds(5)), 10, 0.1);
  dispatched(bucket, seconds(5), seconds(5));
  EXPECT_NEAR(bucket.demand(seconds(10)), 10, 0.1);
  EXPECT_LT(bucket.demand(seconds(14)), 0.5);
}

TEST(rate_bucket, no_window_gets_more_than_the_rate_and_a_quarter_of_a_second) {
  rc::check("in no span more than the rate, a burst and one", [] {
    const auto rate = *rc::gen::inRange(1, 200);
    const auto pauses = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 60));
    auto bucket = rate_bucket();
    bucket.set(request_rate{static_cast<double>(rate)}, TimePoint(0));
    auto times = std::vector<double>();
    auto now = TimePoint(0);
    for (const auto pause : pauses) {
      now += milliseconds(pause);
      if (bucket.take(now)) {
        times.push_back(static_cast<double>(now.count()) / 1e6);
      }
    }
    for (std::size_t first = 0; first < times.size(); ++first) {
      for (std::size_t last = first; last < times.size(); ++last) {
        const auto span = times[last] - times[first];
        RC_ASSERT(static_cast<double>(last - first + 1) <= rate * (span + 0.25) + 1 + 1e-6);
      }
    }
  });
}

}  // namespace
}  // namespace ramppond
