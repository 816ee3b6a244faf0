#include "core/crash_evidence/isolation_queue.h"

#include <gtest/gtest.h>

namespace ramppond {
namespace {

constexpr auto now = TimePoint(seconds(100));

TEST(isolation_lane, lets_one_through_at_a_time_in_order) {
  auto lane = isolation_lane();
  EXPECT_TRUE(lane.enter(1, now + seconds(1)));
  EXPECT_FALSE(lane.enter(2, now + seconds(1)));
  EXPECT_FALSE(lane.enter(3, now + seconds(1)));
  EXPECT_FALSE(lane.take_next());
  lane.leave(1);
  EXPECT_EQ(lane.take_next(), 2U);
  EXPECT_FALSE(lane.take_next());
  lane.leave(3);
  lane.leave(2);
  EXPECT_FALSE(lane.take_next());
  EXPECT_TRUE(lane.enter(4, now + seconds(1)));
}

TEST(isolation_lane, is_not_jumped_while_others_wait) {
  auto lane = isolation_lane();
  EXPECT_TRUE(lane.enter(1, now));
  EXPECT_FALSE(lane.enter(2, now + seconds(1)));
  lane.leave(1);
  EXPECT_FALSE(lane.enter(3, now + seconds(1)));
  EXPECT_EQ(lane.take_next(), 2U);
}

TEST(isolation_lane, gives_up_what_has_waited_for_its_time) {
  auto lane = isolation_lane();
  EXPECT_TRUE(lane.enter(1, now));
  EXPECT_FALSE(lane.enter(2, now + seconds(2)));
  EXPECT_FALSE(lane.enter(3, now + seconds(1)));
  EXPECT_EQ(lane.next_expiry(), now + seconds(1));
  EXPECT_EQ(lane.take_expired(now + seconds(1)), std::vector<isolation_lane::request_id>{3});
  EXPECT_EQ(lane.waiting(), 1U);
}

TEST(isolation_lane, passes_over_what_never_entered) {
  auto lane = isolation_lane();
  EXPECT_TRUE(lane.enter(1, now));
  lane.leave(7);
  EXPECT_FALSE(lane.enter(2, now + seconds(1)));
}

}  // namespace
}  // namespace ramppond
