#include "core/consensus/state_proof.h"

#include <gtest/gtest.h>

namespace ramppond {
namespace {

TEST(state_proof, covers_what_came_before_the_round_once_its_index_is_applied) {
  auto proof = state_proof();
  const auto round = proof.begin(seconds(1));
  ASSERT_TRUE(round);
  proof.on_applied(9);
  EXPECT_FALSE(proof.covers(seconds(1)));
  proof.on_index(*round, 10);
  proof.on_applied(9);
  EXPECT_FALSE(proof.covers(seconds(1)));
  proof.on_applied(10);
  EXPECT_TRUE(proof.covers(seconds(1)));
  EXPECT_FALSE(proof.covers(seconds(1) + microseconds(1)));
}

TEST(state_proof, all_who_wait_share_a_round) {
  auto proof = state_proof();
  EXPECT_TRUE(proof.begin(seconds(1)));
  EXPECT_FALSE(proof.begin(seconds(1) + milliseconds(49)));
  EXPECT_TRUE(proof.begin(seconds(1) + milliseconds(50)));
}

TEST(state_proof, a_failed_round_proves_nothing) {
  auto proof = state_proof();
  const auto round = proof.begin(seconds(1));
  ASSERT_TRUE(round);
  proof.on_failed(*round);
  proof.on_index(*round, 1);
  proof.on_applied(10);
  EXPECT_FALSE(proof.covers(seconds(0)));
}

TEST(state_proof, answers_of_older_rounds_take_nothing_back) {
  auto proof = state_proof();
  const auto older = proof.begin(seconds(1));
  const auto newer = proof.begin(seconds(2));
  ASSERT_TRUE(older && newer);
  proof.on_index(*newer, 5);
  proof.on_applied(5);
  proof.on_index(*older, 5);
  proof.on_applied(5);
  EXPECT_TRUE(proof.covers(seconds(2)));
}

}  // namespace
}  // namespace ramppond
