// Distribution from control members to daemons in a growing fleet: daemons per member and bytes per
// daemon.
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

// Guards against daemons polling only the members in their settings: 74 then polled the busiest of
// 25 members, and none polled the others.
TEST(Distribution, DaemonsSpreadOverAllMembersRegardlessOfSeeds) {
  DistributionFleet fleet(200, members(25));
  fleet.run(seconds(15));
  const auto daemons = fleet.daemonsByMember();
  EXPECT_EQ(std::accumulate(daemons.begin(), daemons.end(), std::size_t{0}), 200U);
  EXPECT_GT(*std::min_element(daemons.begin(), daemons.end()), 0U);
  EXPECT_LE(*std::max_element(daemons.begin(), daemons.end()), 20U);  // 8 on average.
}

TEST(Distribution, DaemonsPollTheMemberOfTheirZone) {
  GroupOptions options = members(5);
  options.zones = 5;
  DistributionFleet fleet(100, options);
  fleet.run(seconds(10));
  for (std::size_t daemon = 0; daemon < fleet.daemons(); ++daemon) {
    EXPECT_EQ(fleet.session(daemon).upstream(), ControlGroup::addressOf(daemon % 5)) << daemon;
  }
}

TEST(Distribution, DaemonsReturnToAMemberThatAnswersAgain) {
  DistributionFleet fleet(60, members(5));
  fleet.run(seconds(10));
  const auto before = fleet.daemonsByMember();
  fleet.silence(2);
  fleet.run(seconds(3));
  EXPECT_EQ(fleet.daemonsByMember()[2], 0U);
  fleet.endSilence();
  fleet.run(seconds(45));
  EXPECT_EQ(fleet.daemonsByMember(), before);
}

// Guards against sending the full member list in each answer, which took 894 bytes per second and
// daemon, and 300 bytes per answer between members.
TEST(Distribution, SizeOfEmptyAnswersIsIndependentOfTheNumberOfMembers) {
  constexpr std::size_t kMembers = 15;
  GroupOptions options = members(kMembers);
  options.zones = 5;
  DistributionFleet fleet(30, options);
  fleet.run(seconds(12));
  fleet.takeSentBytes();
  fleet.group().takeMemberBytes();
  fleet.run(seconds(3));
  EXPECT_LT(fleet.takeSentBytes().all / (3 * fleet.daemons()), 150U);
  EXPECT_LT(fleet.group().takeMemberBytes() / (20 * kMembers * (kMembers - 1)), 150U);
}

// Guards against unbounded answers, which grew with the fleet and took 30.0 kB here.
TEST(Distribution, MaximumAnswerSizeIsBoundedInALargeFleet) {
  DistributionFleet fleet(480, members(3));
  fleet.run(seconds(3));
  fleet.takeSentBytes();
  fleet.restart(100);
  fleet.run(seconds(2));
  for (std::size_t daemon = 0; daemon < fleet.daemons(); ++daemon) {
    ASSERT_EQ(fleet.recordsKnown(daemon), fleet.daemons() - 1) << daemon;
  }
  EXPECT_LT(fleet.takeSentBytes().longest_answer, 25000U);
}

// Guards against sending all records to a daemon that switches members: 11.3 kB for 180 servers.
TEST(Distribution, DaemonThatSwitchesMembersGetsOnlyMissingRecords) {
  DistributionFleet fleet(180, members(3));
  fleet.run(seconds(10));
  const std::size_t moving = fleet.daemonsByMember()[1];
  ASSERT_GT(moving, 30U);
  fleet.takeSentBytes();
  fleet.run(seconds(3));
  const std::uint64_t at_rest = fleet.takeSentBytes().all;
  fleet.silence(1);
  fleet.changeRecord(7);
  fleet.run(seconds(3));
  const std::uint64_t moved = fleet.takeSentBytes().all - at_rest;
  EXPECT_EQ(fleet.daemonsByMember()[1], 0U);
  EXPECT_LT(moved / moving, 3000U);
}

// Guards against sending full configurations: 23.5 kB per daemon and change with 300 routes.
TEST(Distribution, RouteChangeIsSentAsADifference) {
  DistributionFleet fleet(40, members(3));
  TrafficConfiguration configuration = configurationOf(1, 300);
  fleet.group().replaceTraffic(0, configuration);
  fleet.run(seconds(3));
  ASSERT_EQ(fleet.withoutConfiguration(1), 0U);
  fleet.takeSentBytes();
  for (std::uint64_t number = 2; number < 6; ++number) {
    configuration.number = number;
    configuration.routes[40 * number].timeout += seconds(1);
    fleet.group().replaceTraffic(number - 1, configuration);
    fleet.run(milliseconds(330));
  }
  fleet.run(milliseconds(300));
  EXPECT_EQ(fleet.withoutConfiguration(5), 0U);
  EXPECT_LT(fleet.takeSentBytes().all / (4 * fleet.daemons()), 2500U);
}

}  // namespace
}  // namespace ramppond
