#include "core/consensus/member_replacement.h"

#include <gtest/gtest.h>

#include "core/consensus/initial_membership.h"

namespace ramppond {
namespace {

Membership group() {
  return initialMembership({"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"});
}

Member joiner(NodeId id, const std::string& address) {
  return {id, address, address, false};
}

TEST(FirstMembers, EveryMemberComesToTheSameGroup) {
  const Membership one = initialMembership({"10.0.0.2:1", "10.0.0.1:1"});
  const Membership other = initialMembership({"10.0.0.1:1", "10.0.0.2:1", "10.0.0.1:1"});
  EXPECT_EQ(initialGroupId(one), initialGroupId(other));
  EXPECT_EQ(one.voterCount(), 2U);
  EXPECT_NE(one.find(initialNodeId("10.0.0.1:1")), nullptr);
}

TEST(MemberReplacement, NothingChangesWithoutAReason) {
  EXPECT_FALSE(nextMembership(group(), {}, {}));
  const NodeId known = initialNodeId("10.0.0.1:1");
  EXPECT_FALSE(nextMembership(group(), {joiner(known, "10.0.0.1:1")}, {}));
  // Three voters are kept, however long one is silent.
  EXPECT_FALSE(nextMembership(group(), {}, {{known, seconds(100)}}));
}

TEST(MemberReplacement, AWipedMemberFirstLosesItsFormerIdentity) {
  const auto without = nextMembership(group(), {joiner(77, "10.0.0.3:1")}, {});
  ASSERT_TRUE(without);
  EXPECT_EQ(without->voterCount(), 2U);
  EXPECT_EQ(without->find(initialNodeId("10.0.0.3:1")), nullptr);
  const auto with = nextMembership(*without, {joiner(77, "10.0.0.3:1")}, {});
  ASSERT_TRUE(with);
  ASSERT_NE(with->find(77), nullptr);
  EXPECT_FALSE(with->find(77)->voter);
  EXPECT_EQ(with->voterCount(), 2U);
}

TEST(MemberReplacement, ASilentVoterGivesWayOnlyToAVoterThatStands) {
  const NodeId silent = initialNodeId("10.0.0.1:1");
  Membership four = group();
  four.members.push_back(joiner(88, "10.0.0.4:1"));
  EXPECT_FALSE(nextMembership(four, {}, {{silent, seconds(100)}}));
  four.members.back().voter = true;
  EXPECT_FALSE(nextMembership(four, {}, {{silent, kSilentVoterRemoved - Duration(1)}}));
  const auto next = nextMembership(four, {}, {{silent, kSilentVoterRemoved}, {88, Duration(0)}});
  ASSERT_TRUE(next);
  EXPECT_EQ(next->find(silent), nullptr);
  EXPECT_EQ(next->voterCount(), 3U);
}

}  // namespace
}  // namespace ramppond
