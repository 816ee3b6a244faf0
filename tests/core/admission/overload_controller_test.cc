#include "core/admission/overload_controller.h"

#include <gtest/gtest.h>

#include <ostream>

namespace ramppond {
namespace {

constexpr auto patience = milliseconds(60);
constexpr auto between_offers = milliseconds(4);

struct offers {
  Duration wait;
  Duration lasting;
  double utilization = 1;
};

struct level_case {
  const char* name;
  std::vector<offers> seen;
  double min_level;
  double max_level;
};

// Keeps the name of a test the same in every run.
void PrintTo(const level_case& tested, std::ostream* out) {
  *out << tested.name;
}

class overload_controller_table : public testing::TestWithParam<level_case> {};

TEST_P(overload_controller_table, reaches_expected_level) {
  auto controller = overload_controller();
  auto now = TimePoint(seconds(50));
  for (const auto& part : GetParam().seen) {
    const auto end = now + part.lasting;
    for (; now < end; now += between_offers) {
      controller.on_offer({part.utilization, part.wait, patience}, now);
    }
  }
  EXPECT_GE(controller.level(now).value, GetParam().min_level);
  EXPECT_LE(controller.level(now).value, GetParam().max_level);
}

INSTANTIATE_TEST_SUITE_P(
    table, overload_controller_table,
    testing::Values(
        level_case{"nothing_when_nobody_waits", {{milliseconds(0), seconds(2)}}, 0, 0},
        level_case{"nothing_for_short_waits", {{milliseconds(12), seconds(2)}}, 0, 0},
        level_case{"half_a_rank_at_once", {{milliseconds(60), milliseconds(300)}}, 0.4, 0.55},
        level_case{"a_rank_at_once_where_requests_are_refused",
                   {{milliseconds(90), milliseconds(300)}},
                   0.8,
                   1.0},
        level_case{"more_ranks_later", {{milliseconds(60), seconds(6)}}, 1.5, 1.7},
        level_case{"a_bounded_number_of_ranks", {{milliseconds(90), seconds(30)}}, 3.0, 3.0},
        level_case{"little_for_a_short_peak",
                   {{milliseconds(0), seconds(1)}, {milliseconds(90), milliseconds(40)}},
                   0.0,
                   0.15},
        level_case{"less_at_once_when_the_queue_is_gone",
                   {{milliseconds(60), seconds(6)}, {milliseconds(0), milliseconds(300)}},
                   0.5,
                   0.8},
        level_case{"falls_off_when_slots_are_free",
                   {{milliseconds(90), seconds(2)}, {milliseconds(0), seconds(2), 0.5}},
                   0.0,
                   0.0},
        level_case{"is_kept_at_the_target",
                   {{milliseconds(60), seconds(4)}, {milliseconds(24), seconds(4)}},
                   0.6,
                   0.8}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(overload_controller, level_decays_without_offers) {
  auto controller = overload_controller();
  auto now = TimePoint(seconds(50));
  for (; now < seconds(60); now += between_offers) {
    controller.on_offer({1, seconds(1), patience}, now);
  }
  EXPECT_GT(controller.level(now).value, 1.5);
  EXPECT_LT(controller.level(now + seconds(3)).value, 0.02);
}

TEST(overload_controller, offer_after_a_pause_does_not_restore_the_level) {
  auto controller = overload_controller();
  auto now = TimePoint(seconds(50));
  for (; now < seconds(60); now += between_offers) {
    controller.on_offer({1, seconds(1), patience}, now);
  }
  now += seconds(3);
  controller.on_offer({0.1, Duration(0), patience}, now);
  EXPECT_LT(controller.level(now).value, 0.02);
}

TEST(overload_controller, request_without_patience_adds_pressure_only_if_it_would_wait) {
  auto controller = overload_controller();
  auto now = TimePoint(seconds(50));
  for (; now < seconds(52); now += between_offers) {
    controller.on_offer({1, Duration(0), milliseconds(-5)}, now);
  }
  EXPECT_EQ(controller.level(now).value, 0);
  for (; now < seconds(60); now += between_offers) {
    controller.on_offer({1, milliseconds(1), milliseconds(-5)}, now);
  }
  EXPECT_GT(controller.level(now).value, 1.5);
}

}  // namespace
}  // namespace ramppond
