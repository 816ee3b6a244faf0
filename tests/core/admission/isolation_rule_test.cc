#include "core/admission/isolation_rule.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

#include "core/overloaded.h"

namespace ramppond {
namespace {

auto text_of(const beginning& begins) -> std::string {
  return std::visit(overloaded{[](const dispatch_shared&) { return std::string("beside others"); },
                               [](const dispatch_isolated& b) {
                                 return std::string(b.level == suspicion::light ? "alone, light"
                                                                                : "alone, heavy");
                               },
                               [](const dispatch_elsewhere&) { return std::string("elsewhere"); },
                               [](const dispatch_blocked& b) {
                                 return "nowhere until " + std::to_string(b.blocked_until.count());
                               }},
                    begins);
}

struct beginning_case {
  const char* name;
  suspicion_state held;
  bool has_trial;
  std::string begins;
};

// Keeps the name of a test the same in every run.
void PrintTo(const beginning_case& tested, std::ostream* out) {
  *out << tested.name;
}

class beginning_table : public testing::TestWithParam<beginning_case> {};

TEST_P(beginning_table, follows_from_what_is_known) {
  EXPECT_EQ(text_of(dispatch_mode_of(GetParam().held, GetParam().has_trial)), GetParam().begins);
}

INSTANTIATE_TEST_SUITE_P(
    table, beginning_table,
    testing::Values(beginning_case{"unsuspected", unsuspected{}, false, "beside others"},
                    beginning_case{"one_crash", suspected{1}, false, "alone, light"},
                    beginning_case{"two_crashes", suspected{2}, false, "alone, heavy"},
                    beginning_case{"many_crashes", suspected{9}, true, "alone, heavy"},
                    beginning_case{"trial_here", quarantined{}, true, "alone, heavy"},
                    beginning_case{"trial_elsewhere", quarantined{}, false, "elsewhere"},
                    beginning_case{"blocked", blocked{seconds(7)}, false, "nowhere until 7000000"},
                    beginning_case{"blocked_at_the_place_of_its_trial", blocked{seconds(7)}, true,
                                   "nowhere until 7000000"}),
    [](const auto& info) { return std::string(info.param.name); });

struct wait_case {
  const char* name;
  suspicion level;
  Duration left;
  std::optional<Duration> patience;
  Duration wait;
};

void PrintTo(const wait_case& tested, std::ostream* out) {
  *out << tested.name;
}

class isolation_time_table : public testing::TestWithParam<wait_case> {};

TEST_P(isolation_time_table, is_a_share_of_the_time_left) {
  const auto& tested = GetParam();
  EXPECT_EQ(isolation_timeout(tested.level, tested.left, tested.patience), tested.wait);
}

INSTANTIATE_TEST_SUITE_P(
    table, isolation_time_table,
    testing::Values(
        wait_case{"light", suspicion::light, milliseconds(800), std::nullopt, milliseconds(200)},
        wait_case{"heavy", suspicion::heavy, milliseconds(800), std::nullopt, milliseconds(400)},
        wait_case{"held_back_with_little_patience", suspicion::heavy, milliseconds(800),
                  milliseconds(100), milliseconds(100)},
        wait_case{"held_back_with_much_patience", suspicion::light, milliseconds(800),
                  milliseconds(300), milliseconds(200)},
        wait_case{"held_back_without_patience", suspicion::light, milliseconds(800), Duration(0),
                  Duration(0)},
        wait_case{"overdue", suspicion::heavy, -milliseconds(10), std::nullopt, -milliseconds(5)}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(isolation_in_vain, lets_lightly_suspected_requests_go_on_and_refuses_others) {
  EXPECT_EQ(refusal_after_isolation_timeout(suspicion::light), std::nullopt);
  EXPECT_EQ(refusal_after_isolation_timeout(suspicion::heavy),
            inbound_refusal::isolation_timed_out);
}

}  // namespace
}  // namespace ramppond
