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

TEST_P(retry_reserve_table, grows_with_remaining_calls) {
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

struct order_case {
  const char* name;
  ordered_retry retry;
  retry_class expected;
};

void PrintTo(const order_case& tested, std::ostream* out) {
  *out << tested.name;
}

class retry_order_class : public testing::TestWithParam<order_case> {};

TEST_P(retry_order_class, follows_from_origin_and_client) {
  EXPECT_EQ(class_of(GetParam().retry), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    table, retry_order_class,
    testing::Values(
        order_case{
            "call_of_unrepeatable_tree", {true, true, false, 1}, retry_class::unrepeatable_tree},
        order_case{"call_of_repeatable_tree", {true, true, true, 1}, retry_class::repeatable_tree},
        order_case{"direct_and_not_run", {false, true, true}, retry_class::direct},
        // The client gets the same answer by a return, whatever the kind of its route.
        order_case{
            "direct_and_not_run_and_unrepeatable", {false, true, false}, retry_class::direct},
        // It is not told to return, since the request may have run.
        order_case{"direct_and_may_have_run", {false, false, true}, retry_class::repeatable_tree}),
    [](const auto& info) { return std::string(info.param.name); });

// Classes come first, then remaining calls. A huge or unknown number of calls must not move a retry
// into another class.
TEST(retry_order, reserves_more_the_later_in_the_order) {
  const auto in_order = {ordered_retry{true, true, false, 0},
                         ordered_retry{true, true, false, 1},
                         ordered_retry{true, true, false, std::nullopt},
                         ordered_retry{true, true, false, 3},
                         ordered_retry{true, true, false, 4'294'967'295},
                         ordered_retry{true, true, true, 0},
                         ordered_retry{true, true, true, 1},
                         ordered_retry{true, true, true, std::nullopt},
                         ordered_retry{true, true, true, 3},
                         ordered_retry{true, true, true, 4'294'967'295},
                         ordered_retry{false, true, true}};
  auto last = -1.0;
  for (const auto& retry : in_order) {
    EXPECT_GT(reserve_in_order(retry).share, last);
    last = reserve_in_order(retry).share;
  }
  EXPECT_LE(last, 1);
}

// An older proxy sends no root: the call counts as one of a tree that its client can repeat.
TEST(retry_order, counts_an_unknown_root_as_repeatable) {
  EXPECT_EQ(class_of({true, true}), retry_class::repeatable_tree);
}

}  // namespace
}  // namespace ramppond
