#include "core/retries/retry_reserve.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

namespace ramppond {
namespace {

struct reserve_case {
  const char* name;
  bool is_call;
  std::optional<std::uint32_t> remaining_calls;
  double share;
};

// Keeps the name of a test the same in every run.
void PrintTo(const reserve_case& tested, std::ostream* out) {
  *out << tested.name;
}

class retry_reserve_table : public testing::TestWithParam<reserve_case> {};

TEST_P(retry_reserve_table, grows_with_the_calls_to_come) {
  const auto& tested = GetParam();
  EXPECT_DOUBLE_EQ(reserve_of(tested.is_call, tested.remaining_calls).share, tested.share);
}

INSTANTIATE_TEST_SUITE_P(table, retry_reserve_table,
                         testing::Values(reserve_case{"client", false, std::nullopt, 0.25},
                                         reserve_case{"client_whatever_is_known", false, 3, 0.25},
                                         reserve_case{"call_of_unknown_place", true, std::nullopt,
                                                      0.5},
                                         reserve_case{"last_call", true, 0, 0},
                                         reserve_case{"last_call_but_one", true, 1, 0.25},
                                         reserve_case{"two_to_come", true, 2, 0.5},
                                         reserve_case{"three_to_come", true, 3, 0.75},
                                         reserve_case{"many_to_come", true, 7, 0.75}),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace ramppond
