#include "core/lifecycle/planned_stop.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>
#include <vector>

namespace ramppond {
namespace {

constexpr stop_times times = {milliseconds(1200), milliseconds(2100), seconds(5),
                              milliseconds(9700)};

struct observation {
  std::int64_t at_ms;
  stop_load load;
};

struct stop_case {
  const char* name;
  std::vector<observation> seen;
  stop_phase last;
};

// Keeps the name of a test the same in every run.
void PrintTo(const stop_case& tested, std::ostream* out) {
  *out << tested.name;
}

class planned_stop_table : public testing::TestWithParam<stop_case> {};

TEST_P(planned_stop_table, reaches_expected_phase) {
  auto stop = planned_stop(times, seconds(100));
  auto last = stop_phase::draining;
  for (const auto& seen : GetParam().seen) {
    last = stop.step(seen.load, seconds(100) + milliseconds(seen.at_ms));
  }
  EXPECT_EQ(last, GetParam().last);
}

INSTANTIATE_TEST_SUITE_P(
    table, planned_stop_table,
    testing::Values(
        stop_case{"begins_by_draining", {{0, {0, 0}}}, stop_phase::draining},
        stop_case{"serves_peers_at_first", {{1100, {0, 9}}}, stop_phase::draining},
        stop_case{"refuses_peers", {{1200, {0, 9}}}, stop_phase::refusing_peers},
        stop_case{
            "stays_open_until_told", {{1200, {0, 9}}, {2000, {0, 9}}}, stop_phase::refusing_peers},
        stop_case{"closes_when_idle", {{1200, {0, 9}}, {2100, {0, 9}}}, stop_phase::closing},
        stop_case{
            "stays_open_while_busy", {{1200, {3, 9}}, {4900, {1, 9}}}, stop_phase::refusing_peers},
        stop_case{
            "closes_at_last_while_busy", {{1200, {3, 9}}, {5000, {1, 9}}}, stop_phase::closing},
        stop_case{"an_idle_moment_does_not_end_it",
                  {{1200, {0, 9}}, {2100, {0, 9}}, {2300, {1, 9}}},
                  stop_phase::closing},
        stop_case{"waits_for_the_last_bytes",
                  {{1200, {0, 9}}, {2100, {0, 9}}, {2300, {0, 1}}},
                  stop_phase::closing},
        stop_case{"ends_when_all_are_closed",
                  {{1200, {0, 9}}, {2100, {0, 9}}, {2300, {0, 0}}},
                  stop_phase::ended},
        stop_case{
            "ends_in_time", {{1200, {3, 9}}, {5000, {3, 9}}, {9700, {3, 9}}}, stop_phase::ended}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace ramppond
