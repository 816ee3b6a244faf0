#include "core/admission/share_shedding.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

namespace ramppond {
namespace {

constexpr auto step = milliseconds(10);

struct report_case {
  const char* name;
  observed_excess own;
  std::uint32_t downstream;
  std::uint32_t reported;
};

void PrintTo(const report_case& tested, std::ostream* out) {
  *out << tested.name;
}

class share_report : public testing::TestWithParam<report_case> {};

// Guards against answers that tell nothing of a burst because they come at its end.
TEST_P(share_report, is_the_highest_excess_known_of_the_request) {
  const auto& tested = GetParam();
  EXPECT_EQ(excess_to_report(tested.own, {tested.downstream}).permille, tested.reported);
}

INSTANTIATE_TEST_SUITE_P(table, share_report,
                         testing::Values(report_case{"none", {0, 0}, 0, 0},
                                         report_case{"burst_has_decayed", {0.4, 0}, 0, 400},
                                         report_case{"grew_while_it_waited", {0, 0.3}, 0, 300},
                                         report_case{"higher_further_down", {0.1, 0.2}, 250, 250},
                                         report_case{"lower_further_down", {0.3, 0.2}, 250, 300},
                                         report_case{"beyond_the_range", {-1, 7}, 0, 1000}),
                         [](const auto& info) { return std::string(info.param.name); });

class share_shedding_test : public testing::Test {
 protected:
  /// Answers for `length`; `refused` is the share refused when the requests were admitted.
  void answer(std::uint32_t permille, double refused, Duration length) {
    for (const auto end = this->now + length; this->now < end; this->now += step) {
      this->shedding.on_answer("scarce", "caller", {permille}, refused, this->now);
    }
  }
  auto share() const -> double { return this->shedding.share("scarce", "caller", this->now); }

  share_shedding shedding;
  TimePoint now = seconds(1);
};

TEST_F(share_shedding_test, sheds_the_reported_excess_of_this_service_and_caller_only) {
  this->answer(500, 0, seconds(2));
  EXPECT_NEAR(this->share(), 0.5, 0.02);
  EXPECT_EQ(this->shedding.share("scarce", "other", this->now), 0);
  EXPECT_EQ(this->shedding.share("other", "caller", this->now), 0);
  EXPECT_NEAR(this->shedding.highest("caller", this->now).permille, 500, 20);
}

// Reports that arrive a second late still tell of requests that were admitted before.
TEST_F(share_shedding_test, late_reports_are_not_counted_twice) {
  this->answer(500, 0, seconds(4));
  EXPECT_NEAR(this->share(), 0.5, 0.02);
  this->answer(100, 0.5, seconds(2));
  EXPECT_NEAR(this->share(), 0.55, 0.02);
}

TEST_F(share_shedding_test, caller_without_excess_is_released) {
  this->answer(700, 0, seconds(2));
  for (auto answers = 0; answers < 2000; ++answers) {
    this->answer(0, this->share(), step);
  }
  EXPECT_EQ(this->share(), 0);
}

TEST_F(share_shedding_test, excess_that_is_no_longer_reported_decays) {
  this->answer(700, 0, seconds(2));
  this->now += seconds(5);
  EXPECT_EQ(this->share(), 0);
}

// A proxy that has restarted knows of no excess, and learns of it from the first answers.
TEST_F(share_shedding_test, starts_without_an_excess) {
  EXPECT_EQ(this->share(), 0);
  this->answer(500, 0, milliseconds(300));
  EXPECT_GT(this->share(), 0.25);
}

TEST_F(share_shedding_test, wrong_values_are_clamped) {
  this->answer(4000000000U, 7, seconds(2));
  EXPECT_LE(this->share(), 0.8);
  this->answer(1000, -7, seconds(2));
  EXPECT_GE(this->share(), 0);
  EXPECT_LE(this->share(), 0.8);
}

TEST_F(share_shedding_test, memory_is_bounded) {
  for (auto number = 0; number < 30000; ++number) {
    this->shedding.on_answer("scarce", std::to_string(number), {500}, 0, this->now);
  }
  EXPECT_GT(this->shedding.share("scarce", "0", this->now), 0);
  EXPECT_EQ(this->shedding.share("scarce", "29999", this->now), 0);
}

}  // namespace
}  // namespace ramppond
