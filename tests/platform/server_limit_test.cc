// Servers whose answers announce a request limit or that the server is leaving, with real
// processes.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "tests/platform/forwarding_fixture.h"

namespace ramppond::fake_platform {
namespace {

constexpr Duration kSecond = seconds(1);
constexpr Duration kWindow = 4 * kSecond;
constexpr Duration kBurst =
    milliseconds(250);  ///< Allowed burst, as the time in which the limit permits it.
constexpr Duration kDrainTimeout = seconds(2);
constexpr Duration kRequestInterval = milliseconds(5);

/// Returns the maximum number of arrivals in any span of kWindow that begins at `from` or later.
std::size_t maxArrivalsInWindow(const std::vector<TimePoint>& arrivals, TimePoint from) {
  std::size_t most = 0;
  auto first = std::lower_bound(arrivals.begin(), arrivals.end(), from);
  for (auto last = first; last != arrivals.end(); ++last) {
    while (*last - *first > kWindow) {
      ++first;
    }
    most = std::max(most, static_cast<std::size_t>(last - first) + 1);
  }
  return most;
}

/// Returns the maximum number of requests in any span of kWindow for a server with a limit of
/// `limit` requests per second.
double maxAllowedArrivals(double limit) {
  return limit * static_cast<double>((kWindow + kBurst).count()) /
             static_cast<double>(kSecond.count()) +
         1;
}

class ServerLimitTest : public ForwardingTest {
 protected:
  /// Waits until every proxy can reach both servers of the service.
  void SetUp() override {
    ForwardingTest::SetUp();
    for (int machine = 0; machine < Deployment::kServerMachines; ++machine) {
      for (const std::size_t server : {std::size_t{0}, std::size_t{2}}) {
        ASSERT_TRUE(
            deployment_.runUntil([&] { return reaches(machine, *deployment_.servers[server]); }));
      }
    }
  }
  /// Sends a request from the machine; returns whether it ran at the server.
  bool reaches(int machine, const AppServer& server) {
    const std::string id = "reach-" + std::to_string(next_++);
    deployment_.send(machine, request("/one/x", id));
    return server.runs.count(id) == 1;
  }
  /// Sends requests from all machines in turn at a fixed rate, whether or not earlier ones are
  /// answered.
  void sendContinuously(const std::string& target, Duration time) {
    const TimePoint end = EventLoop::now() + time;
    while (EventLoop::now() < end) {
      const std::uint64_t number = next_++;
      deployment_.sendLater(static_cast<int>(number % Deployment::kServerMachines),
                            request(target, "press-" + std::to_string(number)),
                            [this](const Answer& answer) { statuses_[answer.status] += 1; });
      sent_ += 1;
      deployment_.runFor(kRequestInterval);
    }
  }
  void waitForAnswers() {
    EXPECT_TRUE(deployment_.runUntil([this] {
      int answered = 0;
      for (const auto& [status, count] : statuses_) {
        answered += count;
      }
      return answered == sent_;
    }));
  }

  std::map<int, int> statuses_;  ///< Number of answers by status.
  int sent_ = 0;
};

TEST_F(ServerLimitTest, AllProxiesTogetherKeepServerLimit) {
  constexpr double kLimit = 10;
  AppServer& limited = *deployment_.servers[0];
  limited.named_limit = "10.0";
  sendContinuously("/one/x", milliseconds(500));
  const TimePoint known = EventLoop::now();
  sendContinuously("/one/x", seconds(6));
  waitForAnswers();
  EXPECT_LE(static_cast<double>(maxArrivalsInWindow(limited.arrivals, known)),
            maxAllowedArrivals(kLimit));
  RecordProperty("arrivals", static_cast<int>(limited.arrivals.size()));
  RecordProperty("most", static_cast<int>(maxArrivalsInWindow(limited.arrivals, known)));
  RecordProperty("sent", sent_);
  // The other server of the service has room for the remaining requests.
  EXPECT_EQ(statuses_[200], sent_);
}

TEST_F(ServerLimitTest, RestartedProxyKeepsLimitOfItsServer) {
  constexpr double kLimit = 5;
  AppServer& limited = *deployment_.servers[0];
  limited.named_limit = "5";
  limited.work = milliseconds(400);
  sendContinuously("/one/x", seconds(1));
  const TimePoint known = EventLoop::now();
  sendContinuously("/one/x", seconds(2));
  deployment_.proxies[0].reset();
  deployment_.startProxy(0);
  sendContinuously("/one/x", seconds(4));
  EXPECT_LE(static_cast<double>(maxArrivalsInWindow(limited.arrivals, known)),
            maxAllowedArrivals(kLimit));
}

TEST_F(ServerLimitTest, UnreadableLimitIsIgnoredAndOmittedLimitEnds) {
  constexpr double kLimit = 5;
  constexpr std::size_t kManyMore = 50;
  AppServer& limited = *deployment_.servers[0];
  AppServer& other =
      *deployment_.servers[2];  // Also limited, so that no server of the service has spare room.
  limited.named_limit = "5";
  other.named_limit = "5";
  sendContinuously("/one/x", milliseconds(500));
  const TimePoint known = EventLoop::now();
  limited.named_limit = "many";
  sendContinuously("/one/x", seconds(3));
  EXPECT_LE(static_cast<double>(maxArrivalsInWindow(limited.arrivals, known)),
            maxAllowedArrivals(kLimit));
  limited.named_limit.clear();
  other.named_limit.clear();
  const std::size_t before = limited.arrivals.size();
  EXPECT_TRUE(deployment_.runUntil([&] {
    sendContinuously("/one/x", milliseconds(50));
    return limited.arrivals.size() > before + kManyMore;
  }));
}

TEST_F(ServerLimitTest, ServerThatAnnouncesLeavingGetsNoNewRequests) {
  AppServer& leaving = *deployment_.servers[0];
  leaving.reports_leaving = true;
  sendContinuously("/one/x", milliseconds(500));
  deployment_.runFor(kDrainTimeout);
  const std::size_t before = leaving.arrivals.size();
  sendContinuously("/one/x", milliseconds(500));
  EXPECT_EQ(leaving.arrivals.size(), before);
}

// The restarted proxy of the server considers it ready, as its heartbeats say. Machines that have
// forwarded an answer that announced leaving must still send the server nothing.
TEST_F(ServerLimitTest, MachineThatSawLeavingSendsNothingAfterProxyRestart) {
  AppServer& leaving = *deployment_.servers[0];
  leaving.reports_leaving = true;
  std::set<int> told;
  for (int number = 0; number < 60; ++number) {
    const int machine = 1 + number % 3;
    const std::string id = "told-" + std::to_string(number);
    if (deployment_.send(machine, request("/one/x", id)).reports_leaving) {
      told.insert(machine);
    }
  }
  ASSERT_FALSE(told.empty());
  deployment_.runFor(kDrainTimeout);
  const std::size_t before = leaving.arrivals.size();
  const std::size_t beats = leaving.heartbeats_acknowledged;
  deployment_.proxies[0].reset();
  deployment_.startProxy(0);
  ASSERT_TRUE(deployment_.runUntil([&] { return leaving.heartbeats_acknowledged > beats + 2; }));
  for (int number = 0; number < 60; ++number) {
    for (const int machine : told) {
      const std::string id = "after-" + std::to_string(machine) + "-" + std::to_string(number);
      EXPECT_EQ(deployment_.send(machine, request("/one/x", id)).status, 200) << id;
    }
  }
  EXPECT_EQ(leaving.arrivals.size(), before);
}

}  // namespace
}  // namespace ramppond::fake_platform
