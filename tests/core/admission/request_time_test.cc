#include "core/admission/request_time.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

namespace ramppond {
namespace {

struct time_case {
  const char* name;
  Duration left;
  bool begins;
  ServerOutcome given_up;
};

// Keeps the name of a test the same in every run.
void PrintTo(const time_case& tested, std::ostream* out) {
  *out << tested.name;
}

class request_time_table : public testing::TestWithParam<time_case> {};

TEST_P(request_time_table, decides_by_the_time_left) {
  EXPECT_EQ(has_time_to_dispatch(GetParam().left), GetParam().begins);
  EXPECT_EQ(outcome_of_abandoned(GetParam().left), GetParam().given_up);
}

INSTANTIATE_TEST_SUITE_P(
    table, request_time_table,
    testing::Values(time_case{"overdue", -milliseconds(5), false, ServerOutcome::kNoAnswer},
                    time_case{"none", Duration(0), false, ServerOutcome::kNoAnswer},
                    time_case{"just_too_little", Duration(1999), false, ServerOutcome::kNoAnswer},
                    time_case{"just_enough", milliseconds(2), true, ServerOutcome::kNoAnswer},
                    time_case{"at_the_margin", milliseconds(20), true, ServerOutcome::kNoAnswer},
                    time_case{"beyond_the_margin", Duration(20001), true,
                              ServerOutcome::kWithdrawn},
                    time_case{"plenty", seconds(1), true, ServerOutcome::kWithdrawn}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace ramppond
