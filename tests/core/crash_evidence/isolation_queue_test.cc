#include "core/crash_evidence/isolation_queue.h"

#include <gtest/gtest.h>

namespace ramppond {
namespace {

constexpr auto now = TimePoint(seconds(100));

TEST(isolation_queue, admits_one_request_at_a_time_in_order) {
  auto queue = isolation_queue();
  EXPECT_TRUE(queue.enter(1, now + seconds(1)));
  EXPECT_FALSE(queue.enter(2, now + seconds(1)));
  EXPECT_FALSE(queue.enter(3, now + seconds(1)));
  EXPECT_FALSE(queue.take_next());
  queue.leave(1);
  EXPECT_EQ(queue.take_next(), 2U);
  EXPECT_FALSE(queue.take_next());
  queue.leave(3);
  queue.leave(2);
  EXPECT_FALSE(queue.take_next());
  EXPECT_TRUE(queue.enter(4, now + seconds(1)));
}

TEST(isolation_queue, new_request_does_not_overtake_waiting_ones) {
  auto queue = isolation_queue();
  EXPECT_TRUE(queue.enter(1, now));
  EXPECT_FALSE(queue.enter(2, now + seconds(1)));
  queue.leave(1);
  EXPECT_FALSE(queue.enter(3, now + seconds(1)));
  EXPECT_EQ(queue.take_next(), 2U);
}

TEST(isolation_queue, waiting_request_expires_at_its_deadline) {
  auto queue = isolation_queue();
  EXPECT_TRUE(queue.enter(1, now));
  EXPECT_FALSE(queue.enter(2, now + seconds(2)));
  EXPECT_FALSE(queue.enter(3, now + seconds(1)));
  EXPECT_EQ(queue.next_expiry(), now + seconds(1));
  EXPECT_EQ(queue.take_expired(now + seconds(1)), std::vector<isolation_queue::request_id>{3});
  queue.leave(1);
  EXPECT_EQ(queue.take_next(), 2U);
  queue.leave(2);
  EXPECT_FALSE(queue.take_next());
}

TEST(isolation_queue, leave_of_an_unknown_request_has_no_effect) {
  auto queue = isolation_queue();
  EXPECT_TRUE(queue.enter(1, now));
  queue.leave(7);
  EXPECT_FALSE(queue.enter(2, now + seconds(1)));
}

}  // namespace
}  // namespace ramppond
