#include "core/crash_evidence/crash_detector.h"

#include <gtest/gtest.h>

namespace ramppond {
namespace {

constexpr auto first = request_digest{1, 1};
constexpr auto second = request_digest{2, 2};
constexpr auto third = request_digest{3, 3};

class watched_server : public testing::Test {
 protected:
  crash_detector detector;
  TimePoint now = seconds(100);
};

TEST_F(watched_server, crashes_with_all_that_was_lost_within_the_window) {
  this->detector.on_lost({"i", second, false}, this->now);
  this->detector.on_lost({"i", first, false}, this->now + milliseconds(2));
  this->detector.on_lost({"i", first, true}, this->now + milliseconds(3));
  EXPECT_TRUE(this->detector.is_pending());
  const auto ended = this->detector.on_gone("i", this->now + milliseconds(10));
  ASSERT_TRUE(ended);
  EXPECT_EQ(ended->instance_id, "i");
  EXPECT_EQ(ended->under_way, (std::vector<request_digest>{first, second}));
  EXPECT_EQ(ended->isolated, (std::vector<request_digest>{first}));
  EXPECT_FALSE(this->detector.is_pending());
}

TEST_F(watched_server, did_not_crash_with_what_it_had_lost_long_before) {
  this->detector.on_lost({"i", first, false}, this->now);
  this->detector.on_lost({"i", second, false}, this->now + seconds(1));
  const auto ended = this->detector.on_gone("i", this->now + seconds(1));
  ASSERT_TRUE(ended);
  EXPECT_EQ(ended->under_way, std::vector<request_digest>{second});
}

TEST_F(watched_server, lives_if_it_answers_what_was_begun_after_a_loss) {
  this->detector.on_lost({"i", first, false}, this->now);
  this->detector.on_alive(this->now - milliseconds(5));  // begun before: the answer was on its way
  EXPECT_TRUE(this->detector.is_pending());
  this->detector.on_alive(this->now + milliseconds(5));
  EXPECT_FALSE(this->detector.is_pending());
  EXPECT_FALSE(this->detector.on_gone("i", this->now + seconds(1)));
}

TEST_F(watched_server, may_still_be_at_work_on_what_was_left_just_before) {
  this->detector.on_abandoned({"i", first, false}, this->now - seconds(2));
  this->detector.on_abandoned({"i", second, false}, this->now - milliseconds(400));
  EXPECT_FALSE(this->detector.is_pending());
  this->detector.on_lost({"i", third, false}, this->now);
  const auto ended = this->detector.on_gone("i", this->now + milliseconds(1));
  ASSERT_TRUE(ended);
  EXPECT_EQ(ended->under_way, (std::vector<request_digest>{second, third}));
}

TEST_F(watched_server, that_crashes_at_rest_blames_nothing) {
  this->detector.on_abandoned({"i", first, false}, this->now);
  EXPECT_FALSE(this->detector.on_gone("i", this->now));
}

TEST_F(watched_server, is_not_taken_for_a_former_one) {
  this->detector.on_lost({"i", first, false}, this->now);
  EXPECT_FALSE(this->detector.on_gone("j", this->now));
  EXPECT_TRUE(this->detector.on_gone("i", this->now));
}

}  // namespace
}  // namespace ramppond
