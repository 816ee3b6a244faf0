#include "core/consensus/read_index_tracker.h"

#include <gtest/gtest.h>

namespace ramppond {
namespace {

TEST(read_index_tracker, covers_time_before_round_start_once_its_index_is_applied) {
  auto tracker = read_index_tracker();
  const auto round = tracker.begin(seconds(1));
  ASSERT_TRUE(round);
  tracker.on_applied(9);
  EXPECT_FALSE(tracker.covers(seconds(1)));
  tracker.on_read_index(*round, 10);
  tracker.on_applied(9);
  EXPECT_FALSE(tracker.covers(seconds(1)));
  tracker.on_applied(10);
  EXPECT_TRUE(tracker.covers(seconds(1)));
  EXPECT_FALSE(tracker.covers(seconds(1) + microseconds(1)));
}

TEST(read_index_tracker, begin_within_minimum_interval_starts_no_round) {
  auto tracker = read_index_tracker();
  EXPECT_TRUE(tracker.begin(seconds(1)));
  EXPECT_FALSE(tracker.begin(seconds(1) + milliseconds(49)));
  EXPECT_TRUE(tracker.begin(seconds(1) + milliseconds(50)));
}

TEST(read_index_tracker, failed_round_confirms_nothing) {
  auto tracker = read_index_tracker();
  const auto round = tracker.begin(seconds(1));
  ASSERT_TRUE(round);
  tracker.on_failed(*round);
  tracker.on_read_index(*round, 1);
  tracker.on_applied(10);
  EXPECT_FALSE(tracker.covers(seconds(0)));
}

TEST(read_index_tracker, late_answer_of_older_round_keeps_confirmed_time) {
  auto tracker = read_index_tracker();
  const auto older = tracker.begin(seconds(1));
  const auto newer = tracker.begin(seconds(2));
  ASSERT_TRUE(older && newer);
  tracker.on_read_index(*newer, 5);
  tracker.on_applied(5);
  tracker.on_read_index(*older, 5);
  tracker.on_applied(5);
  EXPECT_TRUE(tracker.covers(seconds(2)));
}

}  // namespace
}  // namespace ramppond
