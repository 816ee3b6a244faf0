#include "core/retries/server_wait.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

namespace ramppond {
namespace {

constexpr auto goal = Duration(milliseconds(400));

struct wait_case {
  const char* name;
  std::size_t attempts;
  Duration waited;
  Duration time_left;
  bool waits;
};

// Keeps the name of a test the same in every run.
void PrintTo(const wait_case& tested, std::ostream* out) {
  *out << tested.name;
}

class server_wait_table : public testing::TestWithParam<wait_case> {};

TEST_P(server_wait_table, waits_for_a_part_of_the_goal) {
  const auto& tested = GetParam();
  EXPECT_EQ(may_wait_for_server(tested.attempts, tested.waited, goal, tested.time_left),
            tested.waits);
}

INSTANTIATE_TEST_SUITE_P(
    table, server_wait_table,
    testing::Values(
        wait_case{"just_came", 0, Duration(0), seconds(1), true},
        wait_case{"just_below_a_quarter_of_the_goal", 0, Duration(99999), seconds(1), true},
        wait_case{"a_quarter_of_the_goal", 0, milliseconds(100), seconds(1), false},
        wait_case{"tried_a_server", 1, Duration(0), seconds(1), false},
        wait_case{"just_time_for_an_attempt", 0, Duration(0), milliseconds(10), false},
        wait_case{"more_time_than_for_an_attempt", 0, Duration(0), Duration(10001), true}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace ramppond
