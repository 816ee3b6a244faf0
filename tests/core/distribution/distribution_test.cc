// How what control members tell daemons grows with the fleet: daemons for each member, bytes for
// each of them.
#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>

#include "tests/core/distribution/distribution_fleet.h"

namespace ramppond {
namespace {

GroupOptions members(std::size_t count) {
  GroupOptions options;
  options.members = count;
  options.step = milliseconds(20);
  return options;
}

// Before daemons ranked the members that they are told, 74 asked the busiest of 25 and none asked
// those that they were not given.
TEST(Distribution, DaemonsSpreadOverAllMembersWhicheverTheyWereGiven) {
  DistributionFleet fleet(200, members(25));
  fleet.run(seconds(15));
  const auto daemons = fleet.daemonsByMember();
  EXPECT_EQ(std::accumulate(daemons.begin(), daemons.end(), std::size_t{0}), 200U);
  EXPECT_GT(*std::min_element(daemons.begin(), daemons.end()), 0U);
  EXPECT_LE(*std::max_element(daemons.begin(), daemons.end()), 20U);  // 8 on average.
}

TEST(Distribution, DaemonsAskTheMemberOfTheirZone) {
  GroupOptions options = members(5);
  options.zones = 5;
  DistributionFleet fleet(100, options);
  fleet.run(seconds(10));
  for (std::size_t daemon = 0; daemon < fleet.daemons(); ++daemon) {
    EXPECT_EQ(fleet.session(daemon).upstream(), ControlGroup::addressOf(daemon % 5)) << daemon;
  }
}

TEST(Distribution, AMemberThatIsSilentForAWhileGetsItsDaemonsBack) {
  DistributionFleet fleet(60, members(5));
  fleet.run(seconds(10));
  const auto before = fleet.daemonsByMember();
  fleet.silence(2);
  fleet.run(seconds(3));
  EXPECT_EQ(fleet.daemonsByMember()[2], 0U);
  fleet.unsilence();
  fleet.run(seconds(45));
  EXPECT_EQ(fleet.daemonsByMember(), before);
}

// With the whole list in each answer: 894 bytes a second and daemon, 300 an answer between members.
TEST(Distribution, AnAnswerWithoutNewsDoesNotGrowWithTheNumberOfMembers) {
  constexpr std::size_t kMembers = 15;
  GroupOptions options = members(kMembers);
  options.zones = 5;
  DistributionFleet fleet(30, options);
  fleet.run(seconds(12));
  fleet.takeToldBytes();
  fleet.group().takeMemberBytes();
  fleet.run(seconds(3));
  EXPECT_LT(fleet.takeToldBytes().all / (3 * fleet.daemons()), 150U);
  EXPECT_LT(fleet.group().takeMemberBytes() / (20 * kMembers * (kMembers - 1)), 150U);
}

// 30.0 kB before answers were bounded, in proportion to the fleet.
TEST(Distribution, TheLongestAnswerDoesNotGrowWithTheFleet) {
  DistributionFleet fleet(480, members(3));
  fleet.run(seconds(3));
  fleet.takeToldBytes();
  fleet.restart(100);
  fleet.run(seconds(2));
  for (std::size_t daemon = 0; daemon < fleet.daemons(); ++daemon) {
    ASSERT_EQ(fleet.recordsKnown(daemon), fleet.daemons() - 1) << daemon;
  }
  EXPECT_LT(fleet.takeToldBytes().longest_answer, 25000U);
}

// Each of the daemons that moved was told all records: 11.3 kB for 180 servers.
TEST(Distribution, ADaemonThatAsksAnotherMemberIsToldWhatItLacksOnly) {
  DistributionFleet fleet(180, members(3));
  fleet.run(seconds(10));
  const std::size_t moving = fleet.daemonsByMember()[1];
  ASSERT_GT(moving, 30U);
  fleet.takeToldBytes();
  fleet.run(seconds(3));
  const std::uint64_t at_rest = fleet.takeToldBytes().all;
  fleet.silence(1);
  fleet.changeRecord(7);
  fleet.run(seconds(3));
  const std::uint64_t moved = fleet.takeToldBytes().all - at_rest;
  EXPECT_EQ(fleet.daemonsByMember()[1], 0U);
  EXPECT_LT(moved / moving, 3000U);
}

// 23.5 kB a daemon and change, with 300 routes, before differences.
TEST(Distribution, AChangeOfOneRouteCostsTheSameHoweverManyRoutesThereAre) {
  DistributionFleet fleet(40, members(3));
  TrafficConfiguration configuration = configurationOf(1, 300);
  fleet.group().replaceTraffic(0, configuration);
  fleet.run(seconds(3));
  ASSERT_EQ(fleet.withoutConfiguration(1), 0U);
  fleet.takeToldBytes();
  for (std::uint64_t number = 2; number < 6; ++number) {
    configuration.number = number;
    configuration.routes[40 * number].timeout += seconds(1);
    fleet.group().replaceTraffic(number - 1, configuration);
    fleet.run(milliseconds(330));
  }
  fleet.run(milliseconds(300));
  EXPECT_EQ(fleet.withoutConfiguration(5), 0U);
  EXPECT_LT(fleet.takeToldBytes().all / (4 * fleet.daemons()), 2500U);
}

}  // namespace
}  // namespace ramppond
