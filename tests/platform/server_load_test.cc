// Servers that report their load and the slowdown of their machine, with real processes.
#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <iterator>

#include "tests/platform/forwarding_fixture.h"

namespace ramppond::fake_platform {
namespace {

constexpr char kSlowdownField[] = "Ramppond-Slowdown: ";
constexpr Duration kLongWork = milliseconds(700);
constexpr Duration kSecond = seconds(1);
// Bound of the design, for any span of a second.
constexpr std::size_t kMaximumQueriesPerSecond = 10;

std::size_t maxInSecond(const std::vector<TimePoint>& times) {
  std::size_t most = 0;
  for (auto first = times.begin(); first != times.end(); ++first) {
    const auto end = std::lower_bound(first, times.end(), *first + kSecond);
    most = std::max(most, static_cast<std::size_t>(end - first));
  }
  return most;
}

constexpr int kServiceTimePart = 3;     // in microseconds
constexpr int kFailedPermillePart = 4;  // share of failed requests in thousandths

/// Returns one part of the load that a response reports to other proxies, or -1 if there is none.
std::int64_t partOfLoad(const std::string& response, int part) {
  const std::string field = "Ramppond-Load: ";
  std::size_t begin = response.find(field);
  if (begin == std::string::npos) {
    return -1;
  }
  begin += field.size();
  for (int slash = 0; slash < part; ++slash) {
    begin = response.find('/', begin) + 1;
  }
  return std::strtoll(response.c_str() + begin, nullptr, 10);
}

class ServerLoadTest : public ForwardingTest {
 protected:
  AppServer& server() { return *deployment_.servers[0]; }
  void reportOnAllServers(const std::string& report) {
    for (const auto& server : deployment_.servers) {
      server->load_report = report;
    }
  }
  /// Sends bytes to the proxy beside server 0 as another proxy does; returns the response's head.
  std::string sendAsPeer(const std::string& fields) {
    return deployment_.sendRaw(deployment_.serverHost(0), deployment_.ports.peers,
                               "GET /one/x HTTP/1.1\r\nHost: app.example\r\n" + fields + "\r\n");
  }
  std::string ping() { return sendAsPeer("Ramppond-Ping: 1\r\n"); }
  std::string runAsPeer(const std::string& patience_ms = "1000",
                        const std::string& route = "r-one") {
    return sendAsPeer("Request-Id: peer-" + std::to_string(next_++) +
                      "\r\nDeadline-Ms: 4000\r\nRamppond-Instance: i-0\r\nRamppond-Service: one"
                      "\r\nRamppond-Route: " +
                      route + "\r\nRamppond-Patience-Ms: " + patience_ms + "\r\n");
  }
  /// Keeps requests running at server 0 for `time`, each for kLongWork.
  void runLongRequests(Duration time) {
    for (const auto& each : deployment_.servers) {
      each->work = kLongWork;
    }
    const TimePoint end = EventLoop::now() + time;
    int answered = 0;
    int sent = 0;
    while (EventLoop::now() < end) {
      sent += 1;
      deployment_.sendLater(0, request("/one/x", "long-" + std::to_string(next_++)),
                            [&](const Answer& answer) {
                              EXPECT_EQ(answer.status, 200);
                              answered += 1;
                            });
      deployment_.runFor(milliseconds(200));
    }
    EXPECT_TRUE(deployment_.runUntil([&] { return answered == sent; }));
  }
  std::string log() const {
    std::ifstream file(deployment_.folder + "/log");
    return {std::istreambuf_iterator<char>(file), {}};
  }
};

TEST_F(ServerLoadTest, SlowdownReachesOtherProxiesInResponsesAndPings) {
  server().load_report = "1,0,8,300";
  EXPECT_NE(runAsPeer().find(std::string(kSlowdownField) + "300\r\n"), std::string::npos);
  // The value is valid for 200 ms, which a busy machine may exceed between two messages.
  EXPECT_TRUE(deployment_.runUntil([&] {
    runAsPeer();
    return ping().find(std::string(kSlowdownField) + "300\r\n") != std::string::npos;
  }));
  const std::string to_client =
      deployment_.sendRaw(deployment_.serverHost(0), deployment_.ports.clients,
                          "GET /one/x HTTP/1.1\r\nHost: app.example\r\nDeadline-Ms: 4000\r\n\r\n");
  EXPECT_EQ(to_client.find(kSlowdownField), std::string::npos) << to_client;
}

TEST_F(ServerLoadTest, WrongValuesChangeNothing) {
  for (const char* wrong : {"1,0,8,-300", "-1,0,8,300", "1,0,,300", "1,0", "1,0,8,300,5", "text",
                            "1,0,8,text", "1,0,8,1000000000", "1,0,8,0"}) {
    reportOnAllServers(wrong);
    const std::string id = "wrong-" + std::to_string(next_++);
    const Answer answer = deployment_.send(0, request("/one/x", id));
    EXPECT_EQ(answer.status, 200) << wrong;
    EXPECT_EQ(runsOf(id), 1) << wrong;
    const std::string response = runAsPeer();
    EXPECT_NE(response.find(" 200 "), std::string::npos) << wrong << response;
    EXPECT_EQ(response.find(kSlowdownField), std::string::npos) << wrong << response;
    EXPECT_EQ(ping().find(kSlowdownField), std::string::npos) << wrong;
  }
  runLongRequests(kSecond);
  EXPECT_TRUE(server().health_queries.empty());
}

TEST_F(ServerLoadTest, WrongValueKeepsEarlierReportOnlyUntilItLapses) {
  server().load_report = "1,0,8,300";
  runAsPeer();
  server().load_report = "1,0,8,1000000000";
  deployment_.runFor(milliseconds(300));
  EXPECT_EQ(runAsPeer().find(kSlowdownField), std::string::npos);
}

TEST_F(ServerLoadTest, HealthPathIsQueriedWithinBoundWhileRequestsRun) {
  reportOnAllServers("1,0,8,200");
  runLongRequests(3 * kSecond);
  const std::vector<TimePoint>& queries = server().health_queries;
  EXPECT_GT(queries.size(), kMaximumQueriesPerSecond);
  EXPECT_LE(maxInSecond(queries), kMaximumQueriesPerSecond);
  RecordProperty("queries", static_cast<int>(queries.size()));
  RecordProperty("most_in_a_second", static_cast<int>(maxInSecond(queries)));
  const std::size_t before = queries.size();
  deployment_.runFor(kSecond);
  EXPECT_LE(queries.size(), before + 1) << "queried while no request ran";
}

TEST_F(ServerLoadTest, HealthPathIsNotQueriedForThreeValuesOrNone) {
  for (const char* report : {"1,0,8", ""}) {
    reportOnAllServers(report);
    runLongRequests(2 * kSecond);
    EXPECT_EQ(ping().find(kSlowdownField), std::string::npos);
  }
  for (const auto& each : deployment_.servers) {
    EXPECT_TRUE(each->health_queries.empty());
  }
}

TEST_F(ServerLoadTest, UnansweredHealthPathIsNoFailureOfTheServer) {
  reportOnAllServers("1,0,8,200");
  for (const auto& each : deployment_.servers) {
    each->answers_health = false;
  }
  runLongRequests(4 * kSecond);
  EXPECT_GT(server().health_queries.size(), 2U) << "a late answer ended the queries";
  EXPECT_LE(maxInSecond(server().health_queries), kMaximumQueriesPerSecond);
  EXPECT_EQ(deployment_.send(0, request("/one/x", "after")).status, 200);
  EXPECT_EQ(log().find("\"event\":\"breaker\""), std::string::npos);
  EXPECT_EQ(log().find("\"event\":\"server_ended\""), std::string::npos);
  EXPECT_EQ(partOfLoad(runAsPeer(), kFailedPermillePart), 0);
}

// A request that would wait too long at the reported speed must be refused before it waits.
TEST_F(ServerLoadTest, RefusalsFollowReportedSlowdown) {
  reportOnAllServers("1,0,8,100");
  server().work = milliseconds(40);
  for (int number = 0; number < 32; ++number) {
    runAsPeer();  // until the estimated service time is close to 40 ms
  }
  reportOnAllServers("1,0,8,1000");
  runAsPeer();
  for (const auto& each : deployment_.servers) {
    each->work = 2 * kSecond;
  }
  constexpr int kMoreThanSlotsOfService = 20;
  int answered = 0;
  for (int number = 0; number < kMoreThanSlotsOfService; ++number) {
    deployment_.sendLater(0, request("/one/x", "fill-" + std::to_string(next_++)),
                          [&](const Answer&) { answered += 1; });
  }
  deployment_.runFor(milliseconds(300));
  // Expected to wait 6 ms at usual speed and 60 ms at the reported one.
  const std::string response = runAsPeer("30");
  EXPECT_NE(response.find("Ramppond-Outcome: busy;queue\r\n"), std::string::npos) << response;
  EXPECT_TRUE(deployment_.runUntil([&] { return answered == kMoreThanSlotsOfService; }));
}

// Times must be measured at usual speed, or the slowdown would count twice: 1 s in place of 100 ms.
TEST_F(ServerLoadTest, ReportedServiceTimeCountsSlowdownOnce) {
  reportOnAllServers("1,0,8,1000");
  server().work = milliseconds(100);
  EXPECT_TRUE(deployment_.runUntil([&] {
    const std::int64_t time = partOfLoad(runAsPeer("1000", "r-long"), kServiceTimePart);
    return time > 0 && milliseconds(300) > Duration(time);
  }));
}

TEST_F(ServerLoadTest, CountersAreLoggedWhileServerReports) {
  reportOnAllServers("1,0,8,200");
  runAsPeer();
  reportOnAllServers("text");
  runAsPeer();
  reportOnAllServers("1,0,8,200");
  EXPECT_TRUE(deployment_.runUntil([&] {
    runAsPeer();
    return log().find("\"event\":\"server_load\",\"instance\":\"i-0\"") != std::string::npos;
  }));
}

// A restarted proxy knows nothing until its server responds.
TEST_F(ServerLoadTest, RestartedProxyLearnsSlowdownAndQueriesAgain) {
  reportOnAllServers("1,0,8,300");
  runAsPeer();
  deployment_.proxies[0].reset();
  deployment_.startProxy(0);
  ASSERT_TRUE(deployment_.runUntil(
      [&] { return runAsPeer().find(std::string(kSlowdownField) + "300") != std::string::npos; }));
  server().health_queries.clear();
  runLongRequests(2 * kSecond);
  EXPECT_FALSE(server().health_queries.empty());
}

TEST_F(ServerLoadTest, SettingOffIgnoresReports) {
  deployment_.proxy_settings = "server_load = \"off\"\n";
  deployment_.proxies[0].reset();
  deployment_.startProxy(0);
  reportOnAllServers("1,0,8,300");
  ASSERT_TRUE(deployment_.runUntil([&] { return runAsPeer().find(" 200 ") != std::string::npos; }));
  runLongRequests(kSecond);
  EXPECT_EQ(runAsPeer().find(kSlowdownField), std::string::npos);
  EXPECT_TRUE(server().health_queries.empty());
}

}  // namespace
}  // namespace ramppond::fake_platform
