#include "core/crash_evidence/crash_detector.h"

#include <gtest/gtest.h>

namespace ramppond {
namespace {

constexpr auto first = request_digest{1, 1};
constexpr auto second = request_digest{2, 2};
constexpr auto third = request_digest{3, 3};

class crash_detector_test : public testing::Test {
 protected:
  crash_detector detector;
  TimePoint now = seconds(100);
};

TEST_F(crash_detector_test, crash_includes_runs_lost_within_the_window) {
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

TEST_F(crash_detector_test, crash_excludes_runs_lost_before_the_window) {
  this->detector.on_lost({"i", first, false}, this->now);
  this->detector.on_lost({"i", second, false}, this->now + seconds(1));
  const auto ended = this->detector.on_gone("i", this->now + seconds(1));
  ASSERT_TRUE(ended);
  EXPECT_EQ(ended->under_way, std::vector<request_digest>{second});
}

TEST_F(crash_detector_test, answer_to_a_later_request_shows_the_server_alive) {
  this->detector.on_lost({"i", first, false}, this->now);
  this->detector.on_alive(this->now - milliseconds(5));  // began before the loss
  EXPECT_TRUE(this->detector.is_pending());
  this->detector.on_alive(this->now + milliseconds(5));
  EXPECT_FALSE(this->detector.is_pending());
  EXPECT_FALSE(this->detector.on_gone("i", this->now + seconds(1)));
}

TEST_F(crash_detector_test, crash_includes_recently_abandoned_runs) {
  this->detector.on_abandoned({"i", first, false}, this->now - seconds(2));
  this->detector.on_abandoned({"i", second, false}, this->now - milliseconds(400));
  EXPECT_FALSE(this->detector.is_pending());
  this->detector.on_lost({"i", third, false}, this->now);
  const auto ended = this->detector.on_gone("i", this->now + milliseconds(1));
  ASSERT_TRUE(ended);
  EXPECT_EQ(ended->under_way, (std::vector<request_digest>{second, third}));
}

TEST_F(crash_detector_test, abandoned_runs_alone_are_not_a_crash) {
  this->detector.on_abandoned({"i", first, false}, this->now);
  EXPECT_FALSE(this->detector.on_gone("i", this->now));
}

TEST_F(crash_detector_test, runs_of_another_instance_do_not_count) {
  this->detector.on_lost({"i", first, false}, this->now);
  EXPECT_FALSE(this->detector.on_gone("j", this->now));
  EXPECT_TRUE(this->detector.on_gone("i", this->now));
}

}  // namespace
}  // namespace ramppond
