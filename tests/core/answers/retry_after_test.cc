#include "core/answers/retry_after.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

namespace ramppond {
namespace {

struct least_case {
  const char* name;
  Duration goal;
  Duration least;
};

// Keeps the name of a test the same in every run.
void PrintTo(const least_case& tested, std::ostream* out) {
  *out << tested.name;
}

class least_retry_after_table : public testing::TestWithParam<least_case> {};

TEST_P(least_retry_after_table, is_a_third_of_the_goal) {
  EXPECT_EQ(min_retry_after_for(GetParam().goal), GetParam().least);
}

INSTANTIATE_TEST_SUITE_P(
    table, least_retry_after_table,
    testing::Values(least_case{"no_goal", Duration(0), milliseconds(100)},
                    least_case{"short_goal", milliseconds(299), milliseconds(100)},
                    least_case{"goal_of_three_times_the_least", milliseconds(300),
                               milliseconds(100)},
                    least_case{"long_goal", milliseconds(1200), milliseconds(400)},
                    least_case{"rounded_down", Duration(1000001), Duration(333333)}),
    [](const auto& info) { return std::string(info.param.name); });

struct spread_case {
  const char* name;
  Duration least;
  double draw;
  Duration time;
};

void PrintTo(const spread_case& tested, std::ostream* out) {
  *out << tested.name;
}

class spread_retry_after_table : public testing::TestWithParam<spread_case> {};

TEST_P(spread_retry_after_table, lies_between_the_least_and_twice_that) {
  const auto& tested = GetParam();
  EXPECT_EQ(add_retry_after_jitter(tested.least, {tested.draw}), tested.time);
}

INSTANTIATE_TEST_SUITE_P(
    table, spread_retry_after_table,
    testing::Values(spread_case{"least_draw", milliseconds(400), 0, milliseconds(400)},
                    spread_case{"middle_draw", milliseconds(400), 0.5, milliseconds(600)},
                    spread_case{"quarter_draw", milliseconds(100), 0.25, milliseconds(125)},
                    spread_case{"nearly_the_most", milliseconds(100), 0.99999, Duration(199999)},
                    spread_case{"rounded_down_to_a_microsecond", Duration(3), 0.5, Duration(4)}),
    [](const auto& info) { return std::string(info.param.name); });

struct format_case {
  const char* name;
  Duration time;
  std::string text;
};

void PrintTo(const format_case& tested, std::ostream* out) {
  *out << tested.name;
}

class format_retry_after_table : public testing::TestWithParam<format_case> {};

TEST_P(format_retry_after_table, has_three_decimals) {
  EXPECT_EQ(format_retry_after(GetParam().time), GetParam().text);
}

INSTANTIATE_TEST_SUITE_P(table, format_retry_after_table,
                         testing::Values(format_case{"zero", Duration(0), "0.000"},
                                         format_case{"one_millisecond", milliseconds(1), "0.001"},
                                         format_case{"two_digits", milliseconds(45), "0.045"},
                                         format_case{"three_digits", milliseconds(456), "0.456"},
                                         format_case{"seconds", milliseconds(12034), "12.034"},
                                         format_case{"rounded_down", Duration(1999), "0.001"}),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace ramppond
