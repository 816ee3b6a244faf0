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

}  // namespace
}  // namespace ramppond
