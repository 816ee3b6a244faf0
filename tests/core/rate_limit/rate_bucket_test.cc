#include "core/rate_limit/rate_bucket.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <vector>

namespace ramppond {
namespace {

/// Offers one request per millisecond and returns how many are dispatched.
auto dispatched(rate_bucket& bucket, TimePoint from, Duration time) -> int {
  auto taken = 0;
  for (auto now = from; now < from + time; now += milliseconds(1)) {
    bucket.on_offer(now);
    taken += bucket.take(now) ? 1 : 0;
  }
  return taken;
}

TEST(rate_bucket, admits_all_requests_without_a_rate) {
  auto bucket = rate_bucket();
  EXPECT_EQ(dispatched(bucket, seconds(1), seconds(1)), 1000);
  EXPECT_EQ(bucket.demand(seconds(2)), 0);
  EXPECT_EQ(bucket.wait_for(100, seconds(2)), Duration(0));
}

TEST(rate_bucket, begins_without_tokens) {
  auto bucket = rate_bucket();
  bucket.set(request_rate{10}, seconds(60));
  EXPECT_FALSE(bucket.take(seconds(60)));
  EXPECT_EQ(bucket.wait_for(1, seconds(60)), milliseconds(100));
  EXPECT_EQ(bucket.wait_for(3, seconds(60)), milliseconds(300));
  EXPECT_TRUE(bucket.take(seconds(60) + milliseconds(100)));
}

TEST(rate_bucket, holds_at_most_a_quarter_of_a_second_of_tokens) {
  auto bucket = rate_bucket();
  bucket.set(request_rate{40}, seconds(1));
  auto burst = 0;
  while (bucket.take(seconds(100))) {
    burst += 1;
  }
  EXPECT_EQ(burst, 10);
}

TEST(rate_bucket, returned_token_can_be_taken_again) {
  auto bucket = rate_bucket();
  bucket.set(request_rate{1}, seconds(0));
  ASSERT_TRUE(bucket.take(seconds(1)));
  EXPECT_FALSE(bucket.take(seconds(1)));
  bucket.return_token(seconds(1));
  EXPECT_TRUE(bucket.take(seconds(1)));
}

TEST(rate_bucket, rate_change_adds_no_tokens) {
  auto bucket = rate_bucket();
  bucket.set(request_rate{4}, seconds(0));
  const auto between_tokens = TimePoint(milliseconds(2100));
  dispatched(bucket, seconds(0), between_tokens);
  for (const auto rate : {400.0, 4.0, 400.0, 4.0}) {
    bucket.set(request_rate{rate}, between_tokens);
    EXPECT_FALSE(bucket.take(between_tokens));
  }
}

TEST(rate_bucket, rate_zero_still_admits_probes) {
  auto bucket = rate_bucket();
  bucket.set(request_rate{0}, seconds(0));
  EXPECT_EQ(dispatched(bucket, seconds(0), seconds(12)), 2);
}

TEST(rate_bucket, demand_counts_all_offered_requests) {
  auto bucket = rate_bucket();
  dispatched(bucket, seconds(0), seconds(5));
  bucket.set(request_rate{100}, seconds(5));
  EXPECT_NEAR(bucket.demand(seconds(5)), 10, 0.1);
  dispatched(bucket, seconds(5), seconds(5));
  EXPECT_NEAR(bucket.demand(seconds(10)), 10, 0.1);
  EXPECT_LT(bucket.demand(seconds(14)), 0.5);
}

TEST(rate_bucket, no_window_exceeds_the_rate_and_the_burst) {
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
