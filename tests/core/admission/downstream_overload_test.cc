#include "core/admission/downstream_overload.h"

#include <gtest/gtest.h>

#include <ostream>

namespace ramppond {
namespace {

class downstream_overload_test : public testing::Test {
 protected:
  void answers(const std::string& route, const std::vector<service_overload>& reported, int count) {
    for (int i = 0; i < count; ++i) {
      this->now += milliseconds(20);
      this->below.on_answer(route, reported, this->now);
    }
  }
  [[nodiscard]] auto level(const std::string& route, const std::string& service) const -> double {
    for (const auto& entry : this->below.of(route, this->now)) {
      if (entry.service == service) return entry.level.value;
    }
    return 0;
  }

  downstream_overload below;
  TimePoint now = seconds(100);
};

TEST_F(downstream_overload_test, follows_what_answers_tell) {
  this->answers("fetch", {{"records", {0.8}}}, 50);
  EXPECT_NEAR(this->level("fetch", "records"), 0.8, 0.02);
  EXPECT_EQ(this->level("fetch", "desk"), 0);
  EXPECT_EQ(this->level("other", "records"), 0);
}

TEST_F(downstream_overload_test, one_pressed_server_among_many_weighs_little) {
  for (int round = 0; round < 20; ++round) {
    this->answers("fetch", {{"records", {0}}}, 24);
    this->answers("fetch", {{"records", {1}}}, 1);
  }
  EXPECT_LT(this->level("fetch", "records"), 0.2);
}

TEST_F(downstream_overload_test, a_service_that_is_not_reported_any_more_is_forgotten) {
  this->answers("fetch", {{"records", {1}}}, 50);
  this->answers("fetch", {}, 50);
  EXPECT_EQ(this->level("fetch", "records"), 0);
  this->answers("fetch", {{"records", {1}}}, 50);
  this->now += seconds(4);
  EXPECT_EQ(this->level("fetch", "records"), 0);
}

TEST(strictest_levels, the_highest_of_each_service_counts) {
  const auto merged =
      highest_levels({{"a", {0.2}}, {"b", {0.9}}}, {{"b", {0.4}}, {"a", {0.5}}, {"c", {1}}});
  ASSERT_EQ(merged.size(), 3U);
  EXPECT_EQ(merged[0].level.value, 0.5);
  EXPECT_EQ(merged[1].level.value, 0.9);
  EXPECT_EQ(merged[2].service, "c");
}

struct share_case {
  const char* name;
  double level;
  std::uint32_t less_urgent;
  double share;
};

// Keeps the name of a test the same in every run.
void PrintTo(const share_case& tested, std::ostream* out) {
  *out << tested.name;
}

class shed_share_table : public testing::TestWithParam<share_case> {};

TEST_P(shed_share_table, takes_the_least_urgent_first) {
  EXPECT_DOUBLE_EQ(shed_share({GetParam().level}, GetParam().less_urgent), GetParam().share);
}

INSTANTIATE_TEST_SUITE_P(table, shed_share_table,
                         testing::Values(share_case{"none", 0, 0, 0},
                                         share_case{"a_part_of_the_last_rank", 0.5, 0, 0.5},
                                         share_case{"nothing_of_the_next_rank", 0.5, 1, 0},
                                         share_case{"never_all_of_a_rank", 1.5, 0, 0.8},
                                         share_case{"a_part_of_the_next_rank", 1.5, 1, 0.5},
                                         share_case{"the_first_rank_last", 1.9, 2, 0}),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace ramppond
