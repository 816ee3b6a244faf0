#include "daemon/proxy/forwarded_outcome.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

namespace ramppond {
namespace {

struct outcome_case {
  const char* name;
  std::string field;
  peer_outcome outcome;
  attempt_end end;
};

// Prints the case name, so that the test has the same name in every run.
void PrintTo(const outcome_case& tested, std::ostream* out) {
  *out << tested.name;
}

class peer_outcome_table : public testing::TestWithParam<outcome_case> {};

TEST_P(peer_outcome_table, parse_returns_outcome_and_reason) {
  const auto& tested = GetParam();
  auto head = HttpHead();
  head.set("Ramppond-Outcome", tested.field);
  head.set("Ramppond-Barred-Ms", "250");
  const auto answer = parse_peer_answer(head);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->outcome, tested.outcome);
  EXPECT_EQ(answer->reason, tested.field);
  EXPECT_EQ(answer->blocked_for.has_value(), tested.outcome == peer_outcome::blocked);
  EXPECT_EQ(end_of(answer->outcome), tested.end);
}

INSTANTIATE_TEST_SUITE_P(
    table, peer_outcome_table,
    testing::Values(
        outcome_case{"busy", "busy; full", peer_outcome::busy, attempt_end::not_sent},
        outcome_case{"fenced", "fenced; other", peer_outcome::fenced, attempt_end::not_sent},
        outcome_case{"elsewhere", "elsewhere; x", peer_outcome::elsewhere, attempt_end::not_sent},
        outcome_case{"blocked", "barred; it", peer_outcome::blocked, attempt_end::blocked},
        outcome_case{"not_run", "not_run; 503", peer_outcome::not_run, attempt_end::not_run},
        outcome_case{"unknown", "unknown; lost", peer_outcome::unknown, attempt_end::unknown},
        outcome_case{"without_a_reason", "busy", peer_outcome::busy, attempt_end::not_sent},
        outcome_case{"new_word", "later; x", peer_outcome::unknown, attempt_end::unknown},
        outcome_case{"longer_word", "busyness; x", peer_outcome::unknown, attempt_end::unknown},
        outcome_case{"empty", "", peer_outcome::unknown, attempt_end::unknown}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(peer_outcome, server_answer_has_no_outcome) {
  EXPECT_FALSE(parse_peer_answer(HttpHead()));
}

TEST(peer_outcome, block_with_invalid_time_has_no_duration) {
  auto head = HttpHead();
  head.set("Ramppond-Outcome", "barred; it");
  EXPECT_FALSE(parse_peer_answer(head)->blocked_for);
  head.set("Ramppond-Barred-Ms", "soon");
  EXPECT_FALSE(parse_peer_answer(head)->blocked_for);
  head.set("Ramppond-Barred-Ms", "250");
  EXPECT_EQ(parse_peer_answer(head)->blocked_for, Duration(milliseconds(250)));
}

}  // namespace
}  // namespace ramppond
