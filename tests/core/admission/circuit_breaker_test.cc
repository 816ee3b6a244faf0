#include "core/admission/circuit_breaker.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

namespace ramppond {
namespace {

struct breaker_case {
  const char* name;
  std::string outcomes;  // of admitted requests in order: s(uccess), f(ailure), u(nknown)
  bool closed;
};

// Keeps the name of a test the same in every run.
void PrintTo(const breaker_case& tested, std::ostream* out) {
  *out << tested.name;
}

void feed(circuit_breaker& breaker, const std::string& outcomes, TimePoint now) {
  for (auto outcome : outcomes) {
    if (outcome == 's') breaker.on_success();
    if (outcome == 'f') breaker.on_failure(now);
    if (outcome == 'u') breaker.on_unknown(now);
  }
}

class circuit_breaker_table : public testing::TestWithParam<breaker_case> {};

TEST_P(circuit_breaker_table, opens_after_consecutive_failures) {
  auto breaker = circuit_breaker();
  feed(breaker, GetParam().outcomes, seconds(1));
  EXPECT_EQ(breaker.is_closed(), GetParam().closed);
  EXPECT_EQ(breaker.admit(true, seconds(1)), GetParam().closed);
}

INSTANTIATE_TEST_SUITE_P(table, circuit_breaker_table,
                         testing::Values(breaker_case{"new", "", true},
                                         breaker_case{"few_failures", "fffff", true},
                                         breaker_case{"failures_in_a_row", "ffffff", false},
                                         breaker_case{"success_between", "fffffsfffff", true},
                                         breaker_case{"unknown_between", "fffuuufff", false},
                                         breaker_case{"unknown_only", "uuuuuuuuuu", true}),
                         [](const auto& info) { return std::string(info.param.name); });

class open_breaker : public testing::Test {
 protected:
  void SetUp() override { feed(this->breaker, "ffffff", this->now); }

  circuit_breaker breaker;
  TimePoint now = seconds(1);
};

TEST_F(open_breaker, admits_one_probe_after_a_pause) {
  EXPECT_FALSE(this->breaker.admit(true, this->now + milliseconds(149)));
  EXPECT_TRUE(this->breaker.admit(true, this->now + milliseconds(150)));
  EXPECT_FALSE(this->breaker.admit(true, this->now + milliseconds(160)));
  this->breaker.on_success();
  EXPECT_TRUE(this->breaker.admit(false, this->now + milliseconds(170)));
}

TEST_F(open_breaker, prefers_a_retryable_request_as_probe) {
  EXPECT_FALSE(this->breaker.admit(false, this->now + milliseconds(300)));
  EXPECT_TRUE(this->breaker.admit(false, this->now + milliseconds(650)));
}

TEST_F(open_breaker, failed_probe_doubles_pause_up_to_the_maximum) {
  auto pause = Duration(milliseconds(150));
  for (auto i = 0; i < 10; ++i) {
    this->now += pause;
    ASSERT_TRUE(this->breaker.admit(true, this->now)) << i;
    this->breaker.on_failure(this->now);
    pause = std::min<Duration>(pause * 2, milliseconds(1200));
    EXPECT_FALSE(this->breaker.admit(true, this->now + pause - milliseconds(1))) << i;
  }
}

TEST_F(open_breaker, late_failures_of_earlier_requests_are_ignored) {
  feed(this->breaker, "fff", this->now + milliseconds(140));
  EXPECT_TRUE(this->breaker.admit(true, this->now + milliseconds(150)));
}

TEST_F(open_breaker, unknown_probe_outcome_admits_the_next_probe) {
  ASSERT_TRUE(this->breaker.admit(true, this->now + milliseconds(150)));
  this->breaker.on_unknown(this->now + milliseconds(151));
  EXPECT_TRUE(this->breaker.admit(true, this->now + milliseconds(152)));
}

// Guards against a recovered server that stays out because its probe was refused for want of room.
TEST_F(open_breaker, probe_that_was_not_sent_is_followed_by_the_next_request) {
  const auto probed = this->now + milliseconds(700);
  ASSERT_TRUE(this->breaker.admit(false, probed));
  this->breaker.on_not_sent(probed);
  EXPECT_TRUE(this->breaker.admit(false, probed + milliseconds(1)));
}

TEST_F(open_breaker, late_word_of_a_probe_that_was_not_sent_does_not_admit_a_second_one) {
  const auto first = this->now + milliseconds(150);
  const auto second = first + seconds(1);
  ASSERT_TRUE(this->breaker.admit(true, first));
  ASSERT_TRUE(this->breaker.admit(true, second));
  this->breaker.on_not_sent(first);
  EXPECT_FALSE(this->breaker.admit(true, second + milliseconds(1)));
}

TEST_F(open_breaker, request_that_was_not_sent_does_not_close_or_open_it) {
  this->breaker.on_not_sent(this->now);
  EXPECT_FALSE(this->breaker.admit(true, this->now + milliseconds(149)));
  auto closed = circuit_breaker();
  closed.on_not_sent(this->now);
  EXPECT_TRUE(closed.is_closed());
}

}  // namespace
}  // namespace ramppond
