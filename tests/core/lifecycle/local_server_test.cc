#include "core/lifecycle/local_server.h"

#include <gtest/gtest.h>

namespace ramppond {
namespace {

constexpr Duration kDrainingAdmission = milliseconds(600);

ServerHeartbeat heartbeat(const std::string& id, std::uint64_t sequence, bool draining = false) {
  ServerHeartbeat heartbeat;
  heartbeat.instance_id = id;
  heartbeat.service = "desk";
  heartbeat.slots = 10;
  heartbeat.sequence = sequence;
  heartbeat.draining = draining;
  return heartbeat;
}

TEST(LocalServer, AdmitsOnlyTheRegisteredInstance) {
  LocalServer server(kDrainingAdmission);
  EXPECT_EQ(server.admit("a", "desk", TimePoint(0)), FenceVerdict::kNoServer);
  EXPECT_TRUE(server.onHeartbeat(heartbeat("a", 1), TimePoint(0)));
  EXPECT_EQ(server.admit("a", "desk", TimePoint(0)), FenceVerdict::kAdmit);
  EXPECT_EQ(server.admit("b", "desk", TimePoint(0)), FenceVerdict::kOtherInstance);
  EXPECT_EQ(server.admit("a", "yard", TimePoint(0)), FenceVerdict::kOtherInstance);
  EXPECT_FALSE(server.onHeartbeat(heartbeat("a", 2), TimePoint(0)));
}

TEST(LocalServer, DrainingInstanceIsFencedAfterDrainingAdmission) {
  LocalServer server(kDrainingAdmission);
  server.onHeartbeat(heartbeat("a", 1), TimePoint(0));
  EXPECT_TRUE(server.onHeartbeat(heartbeat("a", 2, true), seconds(1)));
  EXPECT_FALSE(server.onHeartbeat(heartbeat("a", 3, true), seconds(5)));
  EXPECT_EQ(server.admit("a", "desk", seconds(1) + kDrainingAdmission), FenceVerdict::kAdmit);
  EXPECT_EQ(server.admit("a", "desk", seconds(2)), FenceVerdict::kDraining);
  EXPECT_EQ(server.record().state, InstanceState::kDraining);
}

TEST(LocalServer, HeartbeatAfterLeaveIsIgnored) {
  LocalServer server(kDrainingAdmission);
  server.onHeartbeat(heartbeat("a", 4), TimePoint(0));
  EXPECT_TRUE(server.onLeave({"a", std::nullopt}, TimePoint(0)));
  EXPECT_FALSE(server.onHeartbeat(heartbeat("a", 5), seconds(1)));
  EXPECT_EQ(server.admit("a", "desk", seconds(2)), FenceVerdict::kDraining);
}

TEST(LocalServer, LateHeartbeatOfFormerInstanceIsIgnored) {
  LocalServer server(kDrainingAdmission);
  server.onHeartbeat(heartbeat("old", 40), TimePoint(0));
  EXPECT_TRUE(server.onHeartbeat(heartbeat("new", 1), TimePoint(0)));
  EXPECT_FALSE(server.onHeartbeat(heartbeat("old", 39), TimePoint(0)));
  EXPECT_EQ(server.admit("new", "desk", TimePoint(0)), FenceVerdict::kAdmit);
}

TEST(LocalServer, DelayedHeartbeatDoesNotRestoreACrashedInstance) {
  LocalServer server(kDrainingAdmission);
  server.onHeartbeat(heartbeat("old", 40), TimePoint(0));
  EXPECT_TRUE(server.onHeartbeat(heartbeat("new", 1), seconds(2)));
  EXPECT_FALSE(server.onHeartbeat(heartbeat("old", 41), seconds(3)));
  EXPECT_EQ(server.admit("new", "desk", seconds(3)), FenceVerdict::kAdmit);
  EXPECT_FALSE(server.onHeartbeat(heartbeat("new", 2), seconds(4)));
  EXPECT_FALSE(server.onHeartbeat(heartbeat("old", 42), seconds(5)));
  EXPECT_EQ(server.admit("new", "desk", seconds(5)), FenceVerdict::kAdmit);
}

TEST(LocalServer, InstanceIsRestoredIfOnlyItSendsHeartbeats) {
  LocalServer server(kDrainingAdmission);
  server.onHeartbeat(heartbeat("living", 8), TimePoint(0));
  server.onHeartbeat(heartbeat("late", 2), TimePoint(0));
  EXPECT_FALSE(server.onHeartbeat(heartbeat("living", 9), seconds(1)));
  EXPECT_TRUE(server.onHeartbeat(heartbeat("living", 10), seconds(2)));
  EXPECT_EQ(server.admit("living", "desk", seconds(2)), FenceVerdict::kAdmit);
}

TEST(LocalServer, LiveInstanceIsRestoredAfterProxyRestart) {
  LocalServer server(kDrainingAdmission);
  server.onHeartbeat(heartbeat("new", 5), TimePoint(0));
  server.onHeartbeat(heartbeat("old", 40), TimePoint(0));  // Late and from an unknown incarnation.
  EXPECT_TRUE(server.onHeartbeat(heartbeat("new", 6), TimePoint(0)));
  EXPECT_FALSE(server.onHeartbeat(heartbeat("old", 40), TimePoint(0)));
  EXPECT_EQ(server.admit("new", "desk", TimePoint(0)), FenceVerdict::kAdmit);
}

TEST(LocalServer, WrongInstanceIsUnknownUntilItsNextHeartbeat) {
  LocalServer server(kDrainingAdmission);
  server.onHeartbeat(heartbeat("a", 1), TimePoint(0));
  EXPECT_FALSE(server.onWrongInstance("b"));
  EXPECT_TRUE(server.onWrongInstance("a"));
  EXPECT_EQ(server.admit("a", "desk", TimePoint(0)), FenceVerdict::kNoServer);
  EXPECT_TRUE(server.onHeartbeat(heartbeat("a", 2), TimePoint(0)));
  EXPECT_EQ(server.admit("a", "desk", TimePoint(0)), FenceVerdict::kAdmit);
}

TEST(LocalServer, RefusedConnectionEndsInstanceOnlyWithoutOtherConnections) {
  LocalServer server(kDrainingAdmission);
  server.onHeartbeat(heartbeat("a", 1), TimePoint(0));
  EXPECT_FALSE(server.onConnectionRefused("a", 3));
  EXPECT_EQ(server.admit("a", "desk", TimePoint(0)), FenceVerdict::kAdmit);
  EXPECT_TRUE(server.onConnectionRefused("a", 0));
  EXPECT_EQ(server.admit("a", "desk", TimePoint(0)), FenceVerdict::kNoServer);
}

ServerHeartbeat startedAt(std::int64_t started_ms, const std::string& id, std::uint64_t sequence) {
  ServerHeartbeat report = heartbeat(id, sequence);
  report.started_ms = started_ms;
  return report;
}

TEST(LocalServer, RestartWithSameIdIsAnotherIncarnation) {
  LocalServer server(kDrainingAdmission);
  server.onHeartbeat(startedAt(1000, "a", 40), TimePoint(0));
  const std::string former = server.record().server_incarnation;
  EXPECT_TRUE(server.onHeartbeat(startedAt(9000, "a", 1), seconds(2)));
  EXPECT_NE(server.record().server_incarnation, former);
  EXPECT_EQ(server.admit(former, "desk", seconds(2)), FenceVerdict::kOtherInstance);
  EXPECT_EQ(server.admit(server.record().server_incarnation, "desk", seconds(2)),
            FenceVerdict::kAdmit);
  EXPECT_EQ(server.heartbeat().instance_id, "a");
}

TEST(LocalServer, RestartedServerDoesNotInheritLeave) {
  LocalServer server(kDrainingAdmission);
  server.onHeartbeat(startedAt(1000, "a", 40), TimePoint(0));
  EXPECT_TRUE(server.onLeave({"a", 1000}, TimePoint(0)));
  EXPECT_TRUE(server.onHeartbeat(startedAt(9000, "a", 1), seconds(2)));
  EXPECT_EQ(server.record().state, InstanceState::kReady);
  EXPECT_FALSE(server.onLeave({"a", 1000}, seconds(3)));  // Late leave of the former incarnation.
  EXPECT_EQ(server.record().state, InstanceState::kReady);
  EXPECT_TRUE(server.onLeave({"a", std::nullopt}, seconds(4)));
  EXPECT_EQ(server.record().state, InstanceState::kDraining);
}

TEST(LocalServer, LateHeartbeatsOfFormerIncarnationAreIgnored) {
  LocalServer server(kDrainingAdmission);
  server.onHeartbeat(startedAt(9000, "a", 1), TimePoint(0));
  for (std::uint64_t sequence = 40; sequence < 44; ++sequence) {
    EXPECT_FALSE(server.onHeartbeat(startedAt(1000, "a", sequence), seconds(1)));
    EXPECT_FALSE(server.onHeartbeat(startedAt(1000, "b", sequence), seconds(1)));
  }
  EXPECT_EQ(server.heartbeat().started_ms, 9000);
}

TEST(LocalServer, ServerWithEarlierStartTimeReplacesASilentOne) {
  LocalServer server(kDrainingAdmission);
  server.onHeartbeat(startedAt(9000, "a", 5), TimePoint(0));
  EXPECT_FALSE(server.onHeartbeat(startedAt(7000, "a", 1), seconds(3)));
  EXPECT_FALSE(server.onHeartbeat(startedAt(7000, "a", 2), seconds(6)));
  EXPECT_TRUE(server.onHeartbeat(startedAt(7000, "a", 3), seconds(12)));
}

TEST(LocalServer, LeavingAnswerCountsAsDrainingHeartbeat) {
  LocalServer server(kDrainingAdmission);
  server.onHeartbeat(heartbeat("a", 1), TimePoint(0));
  EXPECT_FALSE(server.onLeavingAnswer("former", seconds(1)));
  EXPECT_EQ(server.record().state, InstanceState::kReady);
  EXPECT_TRUE(server.onLeavingAnswer("a", seconds(1)));
  EXPECT_FALSE(server.onLeavingAnswer("a", seconds(2)));
  EXPECT_EQ(server.record().state, InstanceState::kDraining);
  EXPECT_EQ(server.admit("a", "desk", seconds(1) + kDrainingAdmission), FenceVerdict::kAdmit);
  EXPECT_EQ(server.admit("a", "desk", seconds(2)), FenceVerdict::kDraining);
  EXPECT_TRUE(server.announcedLeave("a"));
}

TEST(LocalServer, ReadyHeartbeatDoesNotRevertLeavingAnswer) {
  LocalServer server(kDrainingAdmission);
  server.onHeartbeat(heartbeat("a", 1), TimePoint(0));
  server.onLeavingAnswer("a", seconds(1));
  EXPECT_FALSE(server.onHeartbeat(heartbeat("a", 2), seconds(3)));
  EXPECT_EQ(server.admit("a", "desk", seconds(3)), FenceVerdict::kDraining);
  EXPECT_TRUE(server.onHeartbeat(heartbeat("b", 1), seconds(4)));
  EXPECT_EQ(server.admit("b", "desk", seconds(4)), FenceVerdict::kAdmit);
}

std::vector<std::uint64_t> sequencesOf(const std::vector<server_departure>& departures) {
  std::vector<std::uint64_t> sequences;
  for (const server_departure& departure : departures) {
    sequences.push_back(departure.last_sequence);
  }
  return sequences;
}

// Guards against an acknowledged announcement that nothing keeps: each must be reported once.
TEST(LocalServer, EachAnnouncementOfALeaveIsReportedOnce) {
  LocalServer server(kDrainingAdmission);
  server.onHeartbeat(heartbeat("a", 1), TimePoint(0));
  EXPECT_TRUE(server.takeDepartures().empty());
  server.onHeartbeat(heartbeat("a", 2, true), seconds(1));
  server.onHeartbeat(heartbeat("a", 3, true), seconds(2));
  EXPECT_EQ(sequencesOf(server.takeDepartures()), (std::vector<std::uint64_t>{2}));
  server.onLeave({"a", std::nullopt}, seconds(3));
  server.onLeave({"a", std::nullopt}, seconds(4));
  EXPECT_EQ(sequencesOf(server.takeDepartures()), (std::vector<std::uint64_t>{any_sequence}));
  server.onHeartbeat(heartbeat("b", 1), seconds(5));
  server.onLeavingAnswer("b", seconds(6));
  server.onLeavingAnswer("b", seconds(7));
  EXPECT_EQ(sequencesOf(server.takeDepartures()), (std::vector<std::uint64_t>{any_sequence}));
  server.onLeave({"unknown", std::nullopt}, seconds(8));
  EXPECT_EQ(server.takeDepartures().size(), 1U);
}

struct RestoreCase {
  const char* name;
  std::uint64_t last_sequence;  ///< Of the departure that a former process acknowledged.
  std::uint64_t sequence;       ///< Of the heartbeat that follows.
  bool draining;
  InstanceState state;
  FenceVerdict verdict;
};

void PrintTo(const RestoreCase& restored, std::ostream* out) {
  *out << restored.name;
}

const RestoreCase kRestoreCases[] = {
    {"LateHeartbeatAfterLeave", any_sequence, 7, false, InstanceState::kNone,
     FenceVerdict::kNoServer},
    {"DrainingHeartbeatAfterLeave", any_sequence, 7, true, InstanceState::kNone,
     FenceVerdict::kNoServer},
    {"LateHeartbeatAfterDraining", 8, 7, false, InstanceState::kNone, FenceVerdict::kNoServer},
    {"SameHeartbeatAfterDraining", 8, 8, true, InstanceState::kNone, FenceVerdict::kNoServer},
    {"NextHeartbeatOfDrainingServer", 8, 9, true, InstanceState::kDraining,
     FenceVerdict::kDraining},
    {"ServerIsReadyAgain", 8, 9, false, InstanceState::kReady, FenceVerdict::kAdmit},
};

class LocalServerRestoreTest : public testing::TestWithParam<RestoreCase> {};

// Guards against a restarted proxy that takes a server for a ready one after its former process
// acknowledged that it leaves.
TEST_P(LocalServerRestoreTest, HeartbeatAfterRestartDoesNotRevertAcknowledgedDeparture) {
  LocalServer server(kDrainingAdmission);
  EXPECT_FALSE(server.restore({{{"proxy", "a", GetParam().last_sequence}}}, TimePoint(0)));
  server.onHeartbeat(heartbeat("a", GetParam().sequence, GetParam().draining), seconds(1));
  EXPECT_EQ(server.record().state, GetParam().state);
  EXPECT_EQ(server.admit("a", "desk", seconds(1) + Duration(1)), GetParam().verdict);
  EXPECT_TRUE(server.takeDepartures().empty());
}

// Guards against the same if the departure is only learned after the heartbeat was taken.
TEST_P(LocalServerRestoreTest, DepartureLearnedAfterHeartbeatIsApplied) {
  LocalServer server(kDrainingAdmission);
  server.onHeartbeat(heartbeat("a", GetParam().sequence, GetParam().draining), seconds(1));
  const bool reverted = GetParam().sequence > GetParam().last_sequence;
  const bool changes = !reverted && !GetParam().draining;
  EXPECT_EQ(server.restore({{{"proxy", "a", GetParam().last_sequence}}}, seconds(2)), changes);
  const bool ready = reverted && !GetParam().draining;
  EXPECT_EQ(server.record().state, ready ? InstanceState::kReady : InstanceState::kDraining);
  if (!reverted) {
    EXPECT_EQ(server.admit("a", "desk", seconds(2) + Duration(1)), FenceVerdict::kDraining);
    EXPECT_TRUE(server.announcedLeave("a"));
  }
}

INSTANTIATE_TEST_SUITE_P(Heartbeats, LocalServerRestoreTest, testing::ValuesIn(kRestoreCases),
                         [](const auto& test) { return std::string(test.param.name); });

TEST(LocalServer, NextServerIsTakenAtOnceAfterRestoredDeparture) {
  LocalServer server(kDrainingAdmission);
  server.restore({{{"proxy", "a", any_sequence}}}, TimePoint(0));
  EXPECT_TRUE(server.onHeartbeat(heartbeat("b", 1), Duration(1)));
  EXPECT_EQ(server.record().state, InstanceState::kReady);
  EXPECT_EQ(server.admit("b", "desk", Duration(1)), FenceVerdict::kAdmit);
}

}  // namespace
}  // namespace ramppond
