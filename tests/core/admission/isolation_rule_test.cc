#include "core/admission/isolation_rule.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

#include "core/overloaded.h"

namespace ramppond {
namespace {

auto text_of(const dispatch_mode& begins) -> std::string {
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

struct dispatch_mode_case {
  const char* name;
  suspicion_state state;
  bool quarantined_here;
  std::string begins;
};

// Keeps the name of a test the same in every run.
void PrintTo(const dispatch_mode_case& tested, std::ostream* out) {
  *out << tested.name;
}

class dispatch_mode_table : public testing::TestWithParam<dispatch_mode_case> {};

TEST_P(dispatch_mode_table, follows_the_suspicion_state) {
  EXPECT_EQ(text_of(dispatch_mode_of(GetParam().state, GetParam().quarantined_here)),
            GetParam().begins);
}

INSTANTIATE_TEST_SUITE_P(
    table, dispatch_mode_table,
    testing::Values(dispatch_mode_case{"unsuspected", unsuspected{}, false, "beside others"},
                    dispatch_mode_case{"one_crash", suspected{1}, false, "alone, light"},
                    dispatch_mode_case{"two_crashes", suspected{2}, false, "alone, heavy"},
                    dispatch_mode_case{"many_crashes", suspected{9}, true, "alone, heavy"},
                    dispatch_mode_case{"quarantined_here", quarantined{}, true, "alone, heavy"},
                    dispatch_mode_case{"quarantined_elsewhere", quarantined{}, false, "elsewhere"},
                    dispatch_mode_case{"blocked", blocked{seconds(7)}, false,
                                       "nowhere until 7000000"},
                    dispatch_mode_case{"blocked_where_quarantined", blocked{seconds(7)}, true,
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

class isolation_timeout_table : public testing::TestWithParam<wait_case> {};

TEST_P(isolation_timeout_table, is_a_share_of_the_time_left) {
  const auto& tested = GetParam();
  EXPECT_EQ(isolation_timeout(tested.level, tested.left, tested.patience), tested.wait);
}

INSTANTIATE_TEST_SUITE_P(
    table, isolation_timeout_table,
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

TEST(isolation_in_vain, dispatches_lightly_suspected_and_refuses_heavily_suspected_requests) {
  EXPECT_EQ(refusal_after_isolation_timeout(suspicion::light), std::nullopt);
  EXPECT_EQ(refusal_after_isolation_timeout(suspicion::heavy),
            inbound_refusal::isolation_timed_out);
}

}  // namespace
}  // namespace ramppond
