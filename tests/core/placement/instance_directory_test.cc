#include "core/placement/instance_directory.h"

#include <gtest/gtest.h>

namespace ramppond {
namespace {

InstanceRecord record(const std::string& daemon, const std::string& zone,
                      InstanceState state = InstanceState::kReady, std::uint64_t revision = 1) {
  InstanceRecord record;
  record.proxy_address = daemon;
  record.proxy_incarnation = 1;
  record.revision = revision;
  record.zone = zone;
  record.server_incarnation = "i-" + daemon;
  record.service = "desk";
  record.slots = 10;
  record.state = state;
  return record;
}

class InstanceDirectoryTest : public testing::Test {
 protected:
  std::string choose(const std::set<std::string>& excluded = {}) {
    const KnownInstance* chosen = directory_.choose("desk", "route", excluded, now_);
    return chosen == nullptr ? "" : chosen->record.proxy_address;
  }
  KnownInstance& find(const std::string& daemon) {
    std::set<std::string> others = {"near", "far", "other"};
    others.erase(daemon);
    return *directory_.choose("desk", "route", others, now_);
  }
  InstanceDirectory directory_{{"zone-a", 1}};
  TimePoint now_ = seconds(10);
};

TEST_F(InstanceDirectoryTest, PrefersOwnZoneWhileItHasFreeSlots) {
  directory_.offer(record("far", "zone-b"));
  directory_.offer(record("near", "zone-a"));
  EXPECT_EQ(choose(), "near");
  directory_.onLoad(find("near"), "route", {10, 9, 0, milliseconds(10), 0}, now_);
  directory_.onLoad(find("far"), "route", {10, 1, 0, milliseconds(10), 0}, now_);
  EXPECT_EQ(choose(), "far");
  EXPECT_EQ(choose({"far"}), "near");
  EXPECT_EQ(choose({"far", "near"}), "");
}

struct OwnZoneRow {
  std::uint32_t near_under_way;  // Of ten.
  std::uint32_t far_under_way;
  const char* chosen;
};

void PrintTo(const OwnZoneRow& row, std::ostream* out) {
  *out << row.near_under_way << " near, " << row.far_under_way << " far: " << row.chosen;
}

class OwnZoneTest : public InstanceDirectoryTest, public testing::WithParamInterface<OwnZoneRow> {};

// The traffic of a zone is not proportional to its servers. A zone must not refuse work while
// another one has free slots. With equal load the own zone is used, since traffic between zones has
// a price.
TEST_P(OwnZoneTest, IsLeftOnlyWhenFullerThanOthers) {
  directory_.offer(record("far", "zone-b"));
  directory_.offer(record("near", "zone-a"));
  directory_.onLoad(find("near"), "route", {10, GetParam().near_under_way, 0, milliseconds(10), 0},
                    now_);
  directory_.onLoad(find("far"), "route", {10, GetParam().far_under_way, 0, milliseconds(10), 0},
                    now_);
  EXPECT_EQ(choose(), GetParam().chosen);
}

INSTANTIATE_TEST_SUITE_P(ByLoad, OwnZoneTest,
                         testing::Values(OwnZoneRow{0, 0, "near"}, OwnZoneRow{4, 1, "near"},
                                         OwnZoneRow{6, 5, "near"}, OwnZoneRow{9, 6, "far"},
                                         OwnZoneRow{9, 8, "near"}, OwnZoneRow{10, 8, "far"},
                                         OwnZoneRow{12, 10, "far"}, OwnZoneRow{9, 10, "near"},
                                         OwnZoneRow{10, 10, "near"}));

TEST_F(InstanceDirectoryTest, SlowServerIsAvoidedUntilItsReportExpires) {
  directory_.offer(record("far", "zone-b"));
  directory_.offer(record("near", "zone-a"));
  directory_.onLoad(find("near"), "route", {10, 2, 0, milliseconds(20), 0}, now_);
  directory_.onLoad(find("far"), "route", {10, 2, 0, milliseconds(10), 0}, now_);
  EXPECT_EQ(choose(), "near");  // Twice the service time is an ordinary difference.
  directory_.onLoad(find("near"), "route", {10, 2, 0, milliseconds(120), 0}, now_);
  EXPECT_EQ(choose(), "far");
  now_ += seconds(3);
  EXPECT_EQ(choose(), "near");
}

TEST_F(InstanceDirectoryTest, OfferReportsARestartedProxy) {
  InstanceRecord first = record("near", "zone-a");
  EXPECT_FALSE(directory_.offer(first));
  first.revision = 2;
  EXPECT_FALSE(directory_.offer(first));
  InstanceRecord again = first;
  again.proxy_incarnation = 2;
  EXPECT_TRUE(directory_.offer(again));
  EXPECT_FALSE(directory_.offer(first));
}

// Requests of one route may take many times as long as those of another, so a server that happens
// to have many of them is not slow.
TEST_F(InstanceDirectoryTest, ComparesServiceTimesOfTheSameRoute) {
  directory_.offer(record("far", "zone-b"));
  directory_.offer(record("near", "zone-a"));
  directory_.onLoad(find("near"), "route", {10, 2, 0, milliseconds(55), 0}, now_);
  directory_.onLoad(find("near"), "long", {10, 2, 0, milliseconds(870), 0}, now_);
  directory_.onLoad(find("far"), "route", {10, 2, 0, milliseconds(55), 0}, now_);
  EXPECT_EQ(choose(), "near");
  directory_.onLoad(find("near"), "route", {10, 2, 0, milliseconds(400), 0}, now_);
  EXPECT_EQ(choose(), "far");
}

TEST_F(InstanceDirectoryTest, FailingServerIsAvoidedWhileOthersHaveFreeSlots) {
  directory_.offer(record("far", "zone-b"));
  directory_.offer(record("near", "zone-a"));
  directory_.onLoad(find("near"), "route", {10, 2, 0, milliseconds(10), 300}, now_);
  directory_.onLoad(find("far"), "route", {10, 2, 0, milliseconds(10), 0}, now_);
  EXPECT_EQ(choose(), "far");
  directory_.onLoad(find("far"), "route", {10, 10, 9, milliseconds(10), 0}, now_);
  EXPECT_EQ(choose(), "near");
}

// Calls that all servers of a service make may fail. That is no reason to avoid any of the servers.
TEST_F(InstanceDirectoryTest, FailuresCommonToAllServersAreIgnored) {
  directory_.offer(record("near", "zone-a"));
  directory_.offer(record("far", "zone-b"));
  directory_.offer(record("other", "zone-b"));
  directory_.onLoad(find("near"), "route", {10, 1, 0, milliseconds(40), 400}, now_);
  directory_.onLoad(find("far"), "route", {10, 1, 0, milliseconds(40), 400}, now_);
  directory_.onLoad(find("other"), "route", {10, 1, 0, milliseconds(40), 380}, now_);
  EXPECT_EQ(choose(), "near");
  directory_.onLoad(find("near"), "route", {10, 1, 0, milliseconds(40), 900}, now_);
  EXPECT_NE(choose(), "near");
}

TEST_F(InstanceDirectoryTest, NeverChoosesDrainingServersOrOtherServices) {
  directory_.offer(record("near", "zone-a", InstanceState::kDraining));
  InstanceRecord other = record("far", "zone-b");
  other.service = "yard";
  directory_.offer(other);
  EXPECT_EQ(choose(), "");
  other.service = "desk";
  other.revision = 2;
  directory_.offer(other);
  EXPECT_EQ(choose(), "far");
}

TEST_F(InstanceDirectoryTest, ServerOfAStoppingProxyIsTheLastChoice) {
  directory_.offer(record("near", "zone-a", InstanceState::kStopping));
  EXPECT_EQ(choose(), "near");
  directory_.offer(record("far", "zone-b"));
  EXPECT_EQ(choose(), "far");
}

// A refusal may arrive after a newer record and must not exclude the server for long.
TEST_F(InstanceDirectoryTest, FencedServerIsSkippedUntilTimeoutOrNewerRecord) {
  directory_.offer(record("near", "zone-a", InstanceState::kReady, 5));
  directory_.onFenced(find("near"), now_);
  EXPECT_EQ(choose(), "");
  now_ += seconds(2);
  EXPECT_EQ(choose(), "near");
  directory_.onFenced(find("near"), now_);
  directory_.offer(record("near", "zone-a", InstanceState::kReady, 6));
  EXPECT_EQ(choose(), "near");
}

TEST_F(InstanceDirectoryTest, UnreachableServerIsTheLastChoiceUntilReached) {
  directory_.offer(record("near", "zone-a"));
  directory_.offer(record("far", "zone-b"));
  directory_.onUnreachable(find("near"), now_);
  EXPECT_EQ(choose(), "far");
  EXPECT_EQ(choose({"far"}), "near");
  directory_.onReached(find("near"), now_);
  EXPECT_EQ(choose(), "near");
}

TEST_F(InstanceDirectoryTest, SilentProxyIsAvoidedUntilItAnswersAPing) {
  directory_.offer(record("near", "zone-a"));
  directory_.offer(record("far", "zone-b"));
  directory_.onSent(find("near"), now_);
  now_ += milliseconds(500);
  ASSERT_EQ(directory_.checkLiveness(now_).to_ping.size(), 1U);
  EXPECT_EQ(choose(), "near");
  now_ += milliseconds(300);
  const auto changes = directory_.checkLiveness(now_);
  ASSERT_EQ(changes.silent.size(), 1U);
  EXPECT_EQ(changes.silent.front()->record.proxy_address, "near");
  EXPECT_EQ(choose(), "far");
  directory_.onPingAnswered(find("near"), now_);
  EXPECT_EQ(choose(), "near");
}

TEST_F(InstanceDirectoryTest, WatchesOnlyProxiesWithRequestsInFlight) {
  for (int index = 0; index < 1000; ++index) {
    directory_.offer(record("daemon-" + std::to_string(index), "zone-a"));
  }
  EXPECT_EQ(directory_.watched(), 0U);
  std::vector<KnownInstance*> asked;
  for (int request = 0; request < 3; ++request) {
    asked.push_back(directory_.choose("desk", "route", {}, now_));
    directory_.onSent(*asked.back(), now_);
  }
  directory_.checkLiveness(now_);
  EXPECT_EQ(directory_.watched(), 3U);
  for (KnownInstance* instance : asked) {
    directory_.onReached(*instance, now_);
    directory_.onEnded(*instance);
  }
  directory_.checkLiveness(now_);
  EXPECT_EQ(directory_.watched(), 0U);
}

TEST_F(InstanceDirectoryTest, OlderRecordsAreIgnored) {
  directory_.offer(record("near", "zone-a", InstanceState::kDraining, 7));
  directory_.offer(record("near", "zone-a", InstanceState::kReady, 6));
  EXPECT_EQ(choose(), "");
}

ServerLoad limitedTo(double per_second, double demand) {
  ServerLoad load;
  load.limit = 10;
  load.rate = rate_load{{per_second}, demand};
  return load;
}

TEST_F(InstanceDirectoryTest, SendsNoMoreThanTheNamedRate) {
  directory_.offer(record("far", "zone-b"));
  directory_.offer(record("near", "zone-a"));
  directory_.onLoad(find("near"), "route", limitedTo(10, 2), now_);
  EXPECT_EQ(choose(), "far");
  now_ += seconds(9);  // The reported demand has decayed.
  EXPECT_EQ(choose(), "near");
  for (int sent = 0; sent < 10; ++sent) {
    directory_.onSent(find("near"), now_);
    directory_.onEnded(find("near"));
  }
  EXPECT_EQ(choose(), "far");
}

TEST_F(InstanceDirectoryTest, NamedRateIsKeptOverProxyRestartButNotOverServerRestart) {
  InstanceRecord changed = record("near", "zone-a");
  directory_.offer(changed);
  KnownInstance& near = find("near");
  directory_.onLoad(near, "route", limitedTo(10, 2), now_);
  changed.proxy_incarnation = 2;
  changed.server_incarnation = "";
  directory_.offer(changed);
  EXPECT_FALSE(near.rate());
  changed.revision = 2;
  changed.server_incarnation = "i-near";
  directory_.offer(changed);
  ASSERT_TRUE(near.rate());
  EXPECT_EQ(near.rate()->limit.per_second, 10);
  changed.revision = 3;
  changed.server_incarnation = "i-next";
  directory_.offer(changed);
  EXPECT_FALSE(near.rate());
}

TEST_F(InstanceDirectoryTest, RateThatIsNoLongerNamedIsForgotten) {
  directory_.offer(record("near", "zone-a"));
  directory_.onLoad(find("near"), "route", limitedTo(10, 2), now_);
  directory_.onLoad(find("near"), "route", {10, 1, 0, milliseconds(10), 0}, now_);
  EXPECT_FALSE(find("near").rate());
}

TEST_F(InstanceDirectoryTest, LeavingIncarnationIsSkippedRegardlessOfItsRecord) {
  InstanceRecord changed = record("near", "zone-a");
  directory_.offer(changed);
  KnownInstance& near = find("near");
  InstanceDirectory::onLeaving(near, "i-former");
  EXPECT_EQ(choose(), "near");
  InstanceDirectory::onLeaving(near, "i-near");
  EXPECT_EQ(choose(), "");
  InstanceDirectory::onLeaving(near, "i-former");  // A late answer.
  changed.proxy_incarnation = 2;
  directory_.offer(changed);
  EXPECT_EQ(choose(), "");
  changed.revision = 2;
  changed.server_incarnation = "i-next";
  directory_.offer(changed);
  EXPECT_EQ(choose(), "near");
}

}  // namespace
}  // namespace ramppond
