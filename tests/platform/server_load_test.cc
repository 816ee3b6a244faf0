// Servers that report their load and the slowdown of their machine, with real processes.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>

#include "tests/platform/forwarding_fixture.h"

namespace ramppond::fake_platform {
namespace {

constexpr char kSlowdownField[] = "Ramppond-Slowdown: ";
constexpr Duration kLongWork = milliseconds(700);
constexpr Duration kSecond = seconds(1);
constexpr Duration kTimeout = seconds(20);
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

constexpr int kLimitPart = 0;           // maximum number of requests in flight
constexpr int kUnderWayPart = 1;        // requests in flight
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
  std::string runAsPeer(const std::string& patience_ms = "1000", const std::string& route = "r-one",
                        const std::string& instance = "i-0") {
    return sendAsPeer("Request-Id: peer-" + std::to_string(next_++) +
                      "\r\nDeadline-Ms: 4000\r\nRamppond-Instance: " + instance +
                      "\r\nRamppond-Service: one\r\nRamppond-Route: " + route +
                      "\r\nRamppond-Patience-Ms: " + patience_ms + "\r\n");
  }
  /// A request as another proxy sends it to the proxy beside server 0.
  Request peerRequest() {
    Request peer = request("/one/x", "peer-" + std::to_string(next_++));
    peer.headers["Deadline-Ms"] = "20000";
    peer.headers["Ramppond-Instance"] = "i-0";
    peer.headers["Ramppond-Service"] = "one";
    peer.headers["Ramppond-Route"] = "r-one";
    peer.headers["Ramppond-Patience-Ms"] = "1000";
    return peer;
  }
  /// Keeps requests running at server 0 for `time`, each for kLongWork.
  void runLongRequests(Duration time) {
    const TimePoint end = EventLoop::now() + time;
    runLongRequestsUntil([end] { return EventLoop::now() >= end; });
  }
  /// Does so until `condition` holds. Returns false on a timeout.
  bool runLongRequestsUntil(const std::function<bool()>& condition) {
    for (const auto& each : deployment_.servers) {
      each->work = kLongWork;
    }
    const TimePoint end = EventLoop::now() + kTimeout;
    int answered = 0;
    int sent = 0;
    while (!condition() && EventLoop::now() < end) {
      sent += 1;
      deployment_.sendLater(0, request("/one/x", "long-" + std::to_string(next_++)),
                            [&](const Answer& answer) {
                              EXPECT_EQ(answer.status, 200);
                              answered += 1;
                            });
      deployment_.runFor(milliseconds(200));
    }
    const bool held = condition();
    EXPECT_TRUE(deployment_.runUntil([&] { return answered == sent; }));
    return held;
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
  const std::vector<TimePoint>& queries = server().health_queries;
  EXPECT_TRUE(runLongRequestsUntil([&] { return queries.size() > 2 * kMaximumQueriesPerSecond; }));
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
  EXPECT_TRUE(runLongRequestsUntil([&] {
    return server().health_queries.size() > kMaximumQueriesPerSecond;
  })) << "a late answer ended the queries";
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
    runAsPeer();  // until the estimated service time is close to that of this server
  }
  ASSERT_TRUE(deployment_.runUntil([&] { return partOfLoad(ping(), kUnderWayPart) == 0; }));
  // Refused at once, so that its own duration is not part of the reported time.
  const std::string refused = runAsPeer("1000", "r-one", "other");
  const std::int64_t service_time = partOfLoad(refused, kServiceTimePart);
  const std::int64_t limit = partOfLoad(ping(), kLimitPart);
  ASSERT_GT(service_time, 0);
  ASSERT_GT(limit, 0);
  // A further request is expected to wait service_time/limit at usual speed, ten times that at the
  // reported one. Its patience is between the two.
  const std::string patience_ms =
      std::to_string(3 * Duration(service_time) / limit / milliseconds(1));
  server().holds_answers = true;
  int answered = 0;
  for (int number = 0; number < limit; ++number) {
    deployment_.sendLaterAsPeer(0, peerRequest(), [&](const Answer&) { answered += 1; });
  }
  ASSERT_TRUE(deployment_.runUntil([&] { return partOfLoad(ping(), kUnderWayPart) == limit; }));
  const std::string at_usual_speed = runAsPeer(patience_ms);
  EXPECT_NE(at_usual_speed.find("Ramppond-Outcome: busy;waited\r\n"), std::string::npos)
      << at_usual_speed;
  // The health path reports the slowdown, since no request ends.
  reportOnAllServers("1,0,8,1000");
  EXPECT_TRUE(deployment_.runUntil([&] {
    return runAsPeer(patience_ms).find("Ramppond-Outcome: busy;queue\r\n") != std::string::npos;
  }));
  server().releaseAnswers();
  EXPECT_TRUE(deployment_.runUntil([&] { return answered == limit; }));
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

// A server that sends nothing else must be visible to the operator.
TEST_F(ServerLoadTest, UnreadableReportsAreCountedAndLogged) {
  reportOnAllServers("text");
  EXPECT_TRUE(deployment_.runUntil([&] {
    runAsPeer();
    const std::string logged = log();
    return logged.find("\"reports\":\"0\",\"unreadable\":\"") != std::string::npos &&
           logged.find("found 'text' in one of 1\"") != std::string::npos;
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
  EXPECT_TRUE(runLongRequestsUntil([&] { return !server().health_queries.empty(); }));
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
