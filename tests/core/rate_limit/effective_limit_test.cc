#include "core/rate_limit/effective_limit.h"

#include <gtest/gtest.h>

#include <ostream>
#include <vector>

namespace ramppond {
namespace {

/// One answer of the server, in milliseconds since the first dispatch.
struct answer_made {
  int dispatched_ms;
  int came_ms;
  named_limit named;
};

struct answers_case {
  const char* name;
  std::vector<answer_made> answers;
  std::optional<double> limit;  // afterwards, requests a second
};

// Keeps the name of a test the same in every run.
void PrintTo(const answers_case& tested, std::ostream* out) {
  *out << tested.name;
}

class limit_after_answers : public testing::TestWithParam<answers_case> {};

TEST_P(limit_after_answers, is_the_newest_that_the_server_named) {
  auto limit = effective_limit();
  for (const auto& answer : GetParam().answers) {
    limit.on_answer(answer.named, milliseconds(answer.dispatched_ms), milliseconds(answer.came_ms));
  }
  const auto rate = limit.rate();
  EXPECT_EQ(rate ? std::optional<double>(rate->per_second) : std::nullopt, GetParam().limit);
}

const auto twelve = named_limit(request_rate{12});
const auto five = named_limit(request_rate{5});
const auto thirty = named_limit(request_rate{30});
const auto nothing = named_limit(no_limit{});
const auto nonsense = named_limit(unreadable_limit{"expected a number"});

INSTANTIATE_TEST_SUITE_P(
    table, limit_after_answers,
    testing::Values(
        answers_case{"none_is_named", {{0, 10, nothing}}, std::nullopt},
        answers_case{"the_first_answer_names_one", {{0, 10, twelve}}, 12},
        answers_case{"zero_is_a_limit", {{0, 10, request_rate{0}}}, 0},
        answers_case{"a_lower_one_holds_at_once", {{0, 10, twelve}, {1, 11, five}}, 5},
        answers_case{"a_lower_one_of_an_older_answer_holds", {{5, 10, thirty}, {0, 20, five}}, 5},
        answers_case{
            "a_higher_one_waits_for_an_answer_made_later", {{0, 10, twelve}, {5, 15, thirty}}, 12},
        answers_case{"a_higher_one_made_later_holds", {{0, 10, twelve}, {11, 21, thirty}}, 30},
        answers_case{"an_answer_overtaken_by_the_first_naming_lifts_nothing",
                     {{0, 10, twelve}, {5, 5000, nothing}},
                     12},
        answers_case{"an_answer_without_it_soon_after_lifts_nothing",
                     {{0, 10, twelve}, {11, 1009, nothing}},
                     12},
        answers_case{"an_answer_without_it_a_second_later_lifts_it",
                     {{0, 10, twelve}, {11, 1010, nothing}},
                     std::nullopt},
        answers_case{"named_again_in_between_it_stands",
                     {{0, 10, twelve}, {11, 900, twelve}, {901, 1100, nothing}},
                     12},
        answers_case{
            "what_cannot_be_read_changes_nothing", {{0, 10, twelve}, {2000, 2010, nonsense}}, 12},
        answers_case{"what_cannot_be_read_names_nothing", {{0, 10, nonsense}}, std::nullopt}));

TEST(effective_limit, is_taken_from_a_peer_until_the_server_has_answered) {
  auto limit = effective_limit();
  EXPECT_TRUE(limit.on_peer_report({12}, seconds(1)));
  EXPECT_EQ(limit.rate()->per_second, 12);
  limit.on_answer(request_rate{20}, seconds(1), seconds(2));
  EXPECT_FALSE(limit.on_peer_report({5}, seconds(3)));
  EXPECT_EQ(limit.rate()->per_second, 20);
}

TEST(effective_limit, says_how_long_ago_it_was_named) {
  auto limit = effective_limit();
  EXPECT_EQ(limit.age(seconds(9)), Duration(0));
  limit.on_answer(twelve, seconds(1), seconds(2));
  limit.on_answer(twelve, seconds(2), seconds(4));
  EXPECT_EQ(limit.age(seconds(9)), seconds(5));
}

}  // namespace
}  // namespace ramppond
