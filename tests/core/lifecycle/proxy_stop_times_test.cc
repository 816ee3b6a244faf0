#include "core/lifecycle/proxy_stop_times.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

namespace ramppond {
namespace {

struct grace_case {
  const char* name;
  Duration grace;
  Duration close_latest;
  Duration end_latest;
};

// Keeps the name of a test the same in every run.
void PrintTo(const grace_case& tested, std::ostream* out) {
  *out << tested.name;
}

class proxy_stop_times_table : public testing::TestWithParam<grace_case> {};

TEST_P(proxy_stop_times_table, follow_from_the_grace_period) {
  const auto times = proxy_stop_times(GetParam().grace);
  EXPECT_EQ(times.refuse_peers, milliseconds(1200));
  EXPECT_EQ(times.least, milliseconds(2100));
  EXPECT_EQ(times.close_latest, GetParam().close_latest);
  EXPECT_EQ(times.end_latest, GetParam().end_latest);
}

INSTANTIATE_TEST_SUITE_P(
    table, proxy_stop_times_table,
    testing::Values(grace_case{"six_seconds", seconds(6), seconds(3), milliseconds(5700)},
                    grace_case{"ten_seconds", seconds(10), seconds(5), milliseconds(9700)}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace ramppond
