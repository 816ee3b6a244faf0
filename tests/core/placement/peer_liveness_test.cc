#include "core/placement/peer_liveness.h"

#include <gtest/gtest.h>

namespace ramppond {
namespace {

class peer_liveness_test : public testing::Test {
 protected:
  /// Calls check() every 50 ms and returns the first step, or none if there is none within `span`.
  auto first_step(Duration span) -> liveness_step {
    for (auto end = this->now + span; this->now < end;) {
      this->now += milliseconds(50);
      const auto step = this->peer.check(this->now);
      if (step != liveness_step::none) return step;
    }
    return liveness_step::none;
  }

  void fall_silent() {
    this->peer.on_sent(this->now);
    ASSERT_EQ(this->first_step(seconds(1)), liveness_step::ping);
    ASSERT_EQ(this->first_step(seconds(1)), liveness_step::became_silent);
  }

  peer_liveness peer;
  TimePoint now = seconds(5);
};

TEST_F(peer_liveness_test, no_ping_without_outstanding_requests) {
  EXPECT_EQ(this->first_step(seconds(10)), liveness_step::none);
  this->peer.on_sent(this->now);
  this->peer.on_heard(this->now, 0);
  EXPECT_EQ(this->first_step(seconds(10)), liveness_step::none);
}

TEST_F(peer_liveness_test, peer_that_answers_regularly_is_not_pinged) {
  for (auto i = 0; i < 20; ++i) {
    this->peer.on_sent(this->now);
    EXPECT_EQ(this->first_step(milliseconds(300)), liveness_step::none);
    this->peer.on_heard(this->now, 3);
  }
}

TEST_F(peer_liveness_test, peer_that_answers_its_ping_is_not_silent) {
  this->peer.on_sent(this->now);
  ASSERT_EQ(this->first_step(seconds(1)), liveness_step::ping);
  this->peer.on_heard(this->now, 1);
  EXPECT_FALSE(this->peer.is_silent());
  EXPECT_EQ(this->first_step(milliseconds(300)), liveness_step::none);
}

TEST_F(peer_liveness_test, unanswered_ping_makes_the_peer_silent_once) {
  this->fall_silent();
  EXPECT_TRUE(this->peer.is_silent());
  EXPECT_EQ(this->first_step(seconds(3)), liveness_step::none);
}

TEST_F(peer_liveness_test, silent_peer_stays_silent_until_it_is_heard) {
  this->fall_silent();
  this->peer.on_idle();
  EXPECT_TRUE(this->peer.is_silent());
  this->peer.on_heard(this->now, 0);
  EXPECT_FALSE(this->peer.is_silent());
}

TEST_F(peer_liveness_test, failed_ping_is_sent_again) {
  this->fall_silent();
  this->peer.on_idle();
  this->peer.on_ping_failed();
  EXPECT_EQ(this->first_step(seconds(1)), liveness_step::ping);
  EXPECT_TRUE(this->peer.is_silent());
}

}  // namespace
}  // namespace ramppond
