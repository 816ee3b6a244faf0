// Optional parts of a proxy, switched by the configuration and by the settings of a running one.
#include <gtest/gtest.h>

#include <csignal>
#include <fstream>

#include "tests/platform/forwarding_fixture.h"

namespace ramppond::fake_platform {
namespace {

constexpr char kKey[] = "key-of-the-council-0001";
constexpr char kActive[] = R"("fair_shares":"on","retry_order":"on","return_times":"on")";
constexpr char kInactive[] = R"("fair_shares":"off","retry_order":"off","return_times":"off")";

// A deployment without tenants must be served as before.
TEST_F(ForwardingTest, OptionalPartsStayInactiveWithoutTenants) {
  EXPECT_FALSE(logContains("\"event\":\"optional_parts\""));
}

// An operator must be able to switch a part off without restarting the proxy.
TEST_F(ForwardingTest, OptionalPartsFollowTheConfigurationAndTheSettings) {
  ASSERT_EQ(deployment_.put("00000002", tenantDocument("00000003", {{"council", {kKey}, 0}})), 200);
  ASSERT_TRUE(deployment_.runUntil([&] { return logContains(kActive); }));
  for (std::size_t machine = 0; machine < deployment_.proxies.size(); ++machine) {
    std::ofstream(deployment_.folder + "/server-" + std::to_string(machine) + ".toml",
                  std::ios::app)
        << "fair_shares = \"off\"\nretry_order = \"off\"\nreturn_times = \"off\"\n";
    deployment_.proxies[machine]->signal(SIGHUP);
  }
  EXPECT_TRUE(deployment_.runUntil([&] { return logContains(kInactive); }));
  Request authorized = request("/one/x", "after");
  authorized.headers["Authorization"] = std::string("Bearer ") + kKey;
  EXPECT_EQ(deployment_.send(0, authorized).status, 200);
}

}  // namespace
}  // namespace ramppond::fake_platform
