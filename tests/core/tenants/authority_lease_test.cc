#include "core/tenants/authority_lease.h"

#include <gtest/gtest.h>

namespace ramppond {
namespace {

TEST(authority_lease, begins_at_the_question_and_lapses_a_length_later) {
  auto lease = authority_lease(seconds(5));
  EXPECT_EQ(lease.at(seconds(0)), authority::lapsed);
  lease.on_confirmed(seconds(10));
  EXPECT_EQ(lease.at(seconds(10)), authority::fresh);
  EXPECT_EQ(lease.at(seconds(12)), authority::stale);
  EXPECT_EQ(lease.at(seconds(15) - microseconds(1)), authority::stale);
  EXPECT_EQ(lease.at(seconds(15)), authority::lapsed);
}

TEST(authority_lease, an_answer_to_an_older_question_takes_nothing_back) {
  auto lease = authority_lease(seconds(5));
  lease.on_confirmed(seconds(10));
  lease.on_confirmed(seconds(8));
  EXPECT_EQ(lease.at(seconds(14)), authority::stale);
}

TEST(authority_lease, without_a_length_is_always_fresh) {
  const auto lease = authority_lease(std::nullopt);
  EXPECT_EQ(lease.at(seconds(1000)), authority::fresh);
  EXPECT_FALSE(lease.renewal_interval());
}

}  // namespace
}  // namespace ramppond
