// Servers that announce their end and whose proxy is killed afterwards, with real processes: a
// heartbeat that arrives late must not bring such a server back.
#include <gtest/gtest.h>

#include <csignal>

#include "tests/platform/forwarding_fixture.h"

namespace ramppond::fake_platform {
namespace {

constexpr std::size_t kLeaving = 0;  ///< The server that leaves; another one has its service.
constexpr Duration kDrainTimeout = seconds(2);
constexpr Duration kPause = milliseconds(200);
constexpr Duration kSendingTime = milliseconds(1500);
constexpr Duration kRequestInterval = milliseconds(5);

enum class Announcement { kLeave, kDraining };
enum class Killed { kProxyLater, kProxyAtAcknowledgement, kProxyAndControlGroup, kAllProcesses };

class ServerDepartureTest : public ForwardingTest {
 protected:
  AppServer& leaving() { return *deployment_.servers[kLeaving]; }
  void announce(Announcement announcement, const std::function<void(int status)>& done) {
    if (announcement == Announcement::kLeave) {
      leaving().leave(done);
    } else {
      leaving().sendHeartbeat("draining", leaving().takeSequence(), done);
    }
  }
  /// Announces the end of the server once and returns the status of the answer.
  int announceAndWait(Announcement announcement) {
    int status = -1;
    announce(announcement, [&](int received) { status = received; });
    EXPECT_TRUE(deployment_.runUntil([&] { return status != -1; }));
    return status;
  }
  int sendHeartbeatAndWait(const std::string& state, std::uint64_t sequence) {
    int status = -1;
    leaving().sendHeartbeat(state, sequence, [&](int received) { status = received; });
    EXPECT_TRUE(deployment_.runUntil([&] { return status != -1; }));
    return status;
  }
  void killProxy(std::size_t machine) {
    deployment_.proxies[machine]->signal(SIGKILL);
    ASSERT_TRUE(deployment_.runUntil([&] { return !deployment_.proxies[machine]->running(); }));
  }
  /// Kills the processes at once and starts them again.
  void restart(bool control_group, const std::vector<std::size_t>& proxies) {
    for (const std::size_t machine : proxies) {
      killProxy(machine);
    }
    if (control_group) {
      deployment_.control.clear();
      deployment_.startControl();
    }
    for (const std::size_t machine : proxies) {
      deployment_.startProxy(static_cast<int>(machine));
    }
    for (const std::size_t machine : proxies) {
      ASSERT_TRUE(deployment_.runUntil(
          [&] { return deployment_.readiness(static_cast<int>(machine)) == 200; }));
    }
  }
  void restartAfter(Killed killed) {
    std::vector<std::size_t> proxies = {kLeaving};
    if (killed == Killed::kAllProcesses) {
      proxies = {0, 1, 2, 3};
    }
    restart(killed == Killed::kProxyAndControlGroup || killed == Killed::kAllProcesses, proxies);
  }
  /// Sends a request and returns whether it ran at the leaving server.
  bool reachesLeaving() {
    const std::string id = "reach-" + std::to_string(next_++);
    deployment_.send(1, request("/one/x", id));
    return leaving().runs.count(id) == 1;
  }
  /// Sends requests from all machines and returns how many of them reach the leaving server.
  std::size_t arrivalsWhileSending() {
    const std::size_t before = leaving().arrivals.size();
    const TimePoint end = EventLoop::now() + kSendingTime;
    for (int number = 0; EventLoop::now() < end; ++number) {
      deployment_.sendLater(number % Deployment::kServerMachines,
                            request("/one/x", "late-" + std::to_string(next_++)),
                            [](const Answer& /*answer*/) {});
      deployment_.runFor(kRequestInterval);
    }
    return leaving().arrivals.size() - before;
  }
};

struct DepartureCase {
  const char* name;
  Announcement announcement;
  Killed killed;
};

void PrintTo(const DepartureCase& departure, std::ostream* out) {
  *out << departure.name;
}

class KilledProxyTest : public ServerDepartureTest,
                        public testing::WithParamInterface<DepartureCase> {};

// Guards against a restarted proxy that takes a server whose end its former process acknowledged
// for a ready one when a late heartbeat arrives: the server then got requests until its end, and
// those in flight were lost.
TEST_P(KilledProxyTest, LateHeartbeatDoesNotRestoreServerWhoseDepartureWasAcknowledged) {
  leaving().stopHeartbeats();
  const std::uint64_t late_sequence = leaving().takeSequence();
  int status = 0;
  announce(GetParam().announcement, [&](int received) {
    status = received;
    if (GetParam().killed == Killed::kProxyAtAcknowledgement) {
      deployment_.proxies[kLeaving]->signal(SIGKILL);
    }
  });
  ASSERT_TRUE(deployment_.runUntil([&] { return status == 200; }));
  const TimePoint acknowledged = EventLoop::now();
  if (GetParam().killed != Killed::kProxyAtAcknowledgement) {
    deployment_.runFor(kPause);
  }
  restartAfter(GetParam().killed);
  deployment_.runFor(acknowledged + kDrainTimeout - EventLoop::now());
  EXPECT_EQ(sendHeartbeatAndWait("ready", late_sequence), 200);
  EXPECT_EQ(arrivalsWhileSending(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Departure, KilledProxyTest,
    testing::Values(
        DepartureCase{"LeaveThenProxy", Announcement::kLeave, Killed::kProxyLater},
        DepartureCase{"LeaveAndProxyAtOnce", Announcement::kLeave, Killed::kProxyAtAcknowledgement},
        DepartureCase{"LeaveThenProxyAndControlGroup", Announcement::kLeave,
                      Killed::kProxyAndControlGroup},
        DepartureCase{"LeaveThenAllProcesses", Announcement::kLeave, Killed::kAllProcesses},
        DepartureCase{"DrainingThenProxy", Announcement::kDraining, Killed::kProxyLater},
        DepartureCase{"DrainingAndProxyAtOnce", Announcement::kDraining,
                      Killed::kProxyAtAcknowledgement},
        DepartureCase{"DrainingThenAllProcesses", Announcement::kDraining, Killed::kAllProcesses}),
    [](const auto& test) { return std::string(test.param.name); });

// Guards against the same for a server that announces its end in its answers only, while its
// heartbeats still say ready.
TEST_F(ServerDepartureTest, HeartbeatDoesNotRestoreServerThatSaidInAnAnswerThatItIsLeaving) {
  leaving().reports_leaving = true;
  ASSERT_TRUE(deployment_.runUntil([this] { return reachesLeaving(); }));
  deployment_.runFor(kDrainTimeout);
  restartAfter(Killed::kAllProcesses);
  const std::size_t acknowledged = leaving().heartbeats_acknowledged;
  ASSERT_TRUE(
      deployment_.runUntil([&] { return leaving().heartbeats_acknowledged > acknowledged + 1; }));
  EXPECT_EQ(arrivalsWhileSending(), 0U);
}

// Guards against a departure that outlasts its server: the address must serve again with the first
// heartbeat of the next server.
TEST_F(ServerDepartureTest, NextServerAtTheAddressGetsRequestsAfterRestartOfTheProxy) {
  ASSERT_EQ(announceAndWait(Announcement::kLeave), 200);
  restartAfter(Killed::kProxyLater);
  leaving().crash();  // Starts again as another instance.
  const std::size_t acknowledged = leaving().heartbeats_acknowledged;
  ASSERT_TRUE(
      deployment_.runUntil([&] { return leaving().heartbeats_acknowledged > acknowledged; }));
  EXPECT_GT(arrivalsWhileSending(), 0U);
}

// Guards against an acknowledgement that only the memory of the proxy keeps: it is withheld while
// no control member can store the departure. The server gets no new requests all the same.
TEST_F(ServerDepartureTest, DepartureIsNotAcknowledgedBeforeTheControlGroupHasStoredIt) {
  leaving().stopHeartbeats();
  deployment_.control.clear();
  EXPECT_EQ(announceAndWait(Announcement::kLeave), 503);
  deployment_.runFor(kDrainTimeout);
  EXPECT_EQ(arrivalsWhileSending(), 0U);
  deployment_.startControl();
  EXPECT_TRUE(
      deployment_.runUntil([this] { return announceAndWait(Announcement::kLeave) == 200; }));
}

// Guards against a proxy that waits for the control group for ever before it takes its server: its
// requests would be refused while no member answers.
TEST_F(ServerDepartureTest, HeartbeatIsAcknowledgedByRestartedProxyWithoutControlGroup) {
  leaving().stopHeartbeats();
  deployment_.control.clear();
  killProxy(kLeaving);
  deployment_.startProxy(kLeaving);
  ASSERT_TRUE(deployment_.runUntil([this] { return deployment_.readiness(kLeaving) != 0; }));
  EXPECT_EQ(sendHeartbeatAndWait("ready", leaving().takeSequence()), 200);
}

}  // namespace
}  // namespace ramppond::fake_platform
