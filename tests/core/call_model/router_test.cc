#include "core/call_model/router.h"

#include <gtest/gtest.h>

#include <set>

#include "core/control/server_registry.h"

namespace ramppond {
namespace {

ServerInfo makeServerInfo(const std::string& name, const std::string& zone) {
  ServerInfo info;
  info.name = name;
  info.service = "records";
  info.zone = zone;
  info.peer_address = "10.0.0.1:" + name;
  info.incarnation = 5;
  return info;
}

class RouterTest : public testing::Test {
 protected:
  RouterTest() {
    router_.setServers(
        "records", {makeServerInfo("1", "a"), makeServerInfo("2", "a"), makeServerInfo("3", "b")},
        TimePoint(0));
  }
  std::set<std::string> chosenServers(const std::vector<std::string>& excluded = {},
                                      TimePoint now = seconds(1)) {
    std::set<std::string> names;
    for (int draw = 0; draw < 200; ++draw) {
      const auto route = router_.choose("records", excluded, now);
      if (route) {
        names.insert(route->server);
      }
    }
    return names;
  }
  void answerDraining(const std::string& server) {
    ServerFeedback feedback;
    feedback.incarnation = 5;
    feedback.draining = true;
    router_.onAnswer("records", server, feedback, seconds(1));
  }
  Router router_{"a", 1};
};

TEST_F(RouterTest, PrefersLocalZoneUntilItIsBusier) {
  EXPECT_EQ(chosenServers(), (std::set<std::string>{"1", "2"}));
  for (int call = 0; call < 5; ++call) {
    router_.onSent("records", "1");
    router_.onSent("records", "2");
  }
  EXPECT_EQ(chosenServers().count("3"), 1U);
}

TEST_F(RouterTest, DrainingAnswerOverridesListUntilServerRestarts) {
  answerDraining("1");
  EXPECT_EQ(chosenServers().count("1"), 0U);
  router_.setServers("records", {makeServerInfo("1", "a"), makeServerInfo("2", "a")}, seconds(2));
  EXPECT_EQ(chosenServers().count("1"), 0U) << "the list lags";
  ServerInfo restarted = makeServerInfo("1", "a");
  restarted.incarnation = 6;
  router_.setServers("records", {restarted, makeServerInfo("2", "a")}, seconds(3));
  EXPECT_EQ(chosenServers().count("1"), 1U) << "another incarnation is another process";
}

TEST_F(RouterTest, ServersDrainedByOperatorAreNotChosen) {
  router_.setDrainedByOperator({"1", "2", "3"});
  EXPECT_FALSE(router_.choose("records", {}, seconds(1)));
  router_.setDrainedByOperator({"2"});
  EXPECT_EQ(chosenServers().count("2"), 0U);
  EXPECT_EQ(chosenServers().count("1"), 1U);
}

TEST_F(RouterTest, FailedServerIsAvoidedUntilBackoffEnds) {
  router_.onFailure("records", "1", true, seconds(1));
  EXPECT_EQ(chosenServers({}, seconds(1)).count("1"), 0U);
  EXPECT_EQ(chosenServers({}, seconds(10)).count("1"), 1U);
}

TEST_F(RouterTest, ExcludedServersAreChosenOnlyAsLastResort) {
  EXPECT_EQ(chosenServers({"1", "2"}), (std::set<std::string>{"3"}));
  const auto route = router_.choose("records", {"1", "2", "3"}, seconds(1));
  ASSERT_TRUE(route);
  EXPECT_TRUE(route->last_resort);
}

TEST_F(RouterTest, FailureBeforeSendingClearsIncarnation) {
  router_.onFailure("records", "3", true, seconds(1));
  router_.setDrainedByOperator({"1", "2"});
  EXPECT_EQ(router_.choose("records", {}, seconds(9))->incarnation, 0U);
}

TEST(ServerRegistry, ServersForReturnsBoundedSubsetOfBothZones) {
  ServerRegistry registry;
  std::vector<ServerInfo> servers;
  for (int index = 0; index < 200; ++index) {
    servers.push_back(makeServerInfo(std::to_string(index), index % 2 == 0 ? "a" : "b"));
  }
  registry.setPlatformList(servers);
  const ServiceServers subset = registry.serversFor("records", "a", "daemon-1");
  EXPECT_EQ(subset.servers.size(), kMaximumServersPerService);
  const auto local = std::count_if(subset.servers.begin(), subset.servers.end(),
                                   [](const ServerInfo& server) { return server.zone == "a"; });
  EXPECT_EQ(local, static_cast<std::ptrdiff_t>(kMaximumServersPerService / 2));
  EXPECT_EQ(registry.serversFor("records", "a", "daemon-1").digest, subset.digest) << "stable";
  EXPECT_NE(registry.serversFor("records", "a", "daemon-2").digest, subset.digest);
}

TEST(ServerRegistry, SessionOverridesListAndOlderIncarnationIsIgnored) {
  ServerRegistry registry;
  registry.setPlatformList({makeServerInfo("1", "a")});
  const std::uint64_t before = registry.versionOf("records");
  DaemonSession session;
  session.server = "1";
  session.incarnation = 9;
  session.started_ms = 100;
  session.draining = true;
  registry.onSession(session, seconds(1));
  EXPECT_GT(registry.versionOf("records"), before);
  EXPECT_TRUE(registry.serversFor("records", "a", "d").servers[0].leaving);
  session.incarnation = 8;
  session.started_ms = 50;
  session.draining = false;
  registry.onSession(session, seconds(2));
  EXPECT_EQ(registry.serversFor("records", "a", "d").servers[0].incarnation, 9U);
  registry.setPlatformList({makeServerInfo("1", "a")});
  EXPECT_TRUE(registry.serversFor("records", "a", "d").servers[0].leaving) << "the list lags";
}

TEST(ServerRegistry, SessionsSinceReturnsOnlyChangedSessions) {
  ServerRegistry registry;
  DaemonSession session;
  for (const std::string name : {"1", "2", "3"}) {
    session.server = name;
    session.incarnation += 1;
    registry.onSession(session, seconds(1));
  }
  const std::uint64_t counter = registry.sessionsCounter();
  EXPECT_EQ(registry.sessionsSince(0).size(), 3U);
  EXPECT_TRUE(registry.sessionsSince(counter).empty());
  session.draining = true;
  registry.onSession(session, seconds(2));
  ASSERT_EQ(registry.sessionsSince(counter).size(), 1U);
  EXPECT_EQ(registry.sessionsSince(0).size(), 3U) << "one entry per server";
}

}  // namespace
}  // namespace ramppond
