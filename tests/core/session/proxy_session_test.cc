// A daemon's session with control members that are disconnected, restarted or out of date.
#include "core/session/proxy_session.h"

#include <gtest/gtest.h>

#include "core/cbor_codec.h"
#include "core/control/control_core.h"
#include "core/distribution/traffic_difference.h"

namespace ramppond {
namespace {

ProxySession session(std::uint64_t incarnation = 10) {
  ProxySessionOptions options;
  options.seeds = {"10.0.0.1:1", "10.0.0.2:1"};
  options.incarnation = incarnation;
  return ProxySession(options);
}

ControlReply reply(std::uint64_t traffic_index, bool authoritative,
                   const std::vector<InstanceRecord>& instances = {}) {
  ProxyUpdate update;
  update.registry_epoch = 7;
  update.registry_counter = 1;
  update.instances.assign(instances.begin(), instances.end());
  if (traffic_index != 0) {
    TrafficConfiguration traffic;
    traffic.number = traffic_index;
    update.traffic_index = traffic_index;
    update.traffic = encode(traffic);
  }
  ControlReply reply;
  reply.authoritative = authoritative;
  reply.proxy_update = encode(update);
  return reply;
}

InstanceRecord record(const std::string& address) {
  InstanceRecord record;
  record.proxy_address = address;
  record.server_incarnation = "i";
  record.state = InstanceState::kReady;
  return record;
}

TEST(ProxySession, AcceptsAConfigurationAndIgnoresAnOlderOne) {
  ProxySession proxy = session();
  auto poll = proxy.takePoll(TimePoint(0));
  ASSERT_TRUE(poll);
  proxy.onReply(poll->poll_id, reply(5, true), TimePoint(0));
  EXPECT_TRUE(proxy.takeTrafficChanged());
  EXPECT_EQ(proxy.trafficIndex(), 5U);
  poll = proxy.takePoll(seconds(1));
  ASSERT_TRUE(poll);
  proxy.onReply(poll->poll_id, reply(4, true), seconds(1));
  EXPECT_FALSE(proxy.takeTrafficChanged());
  EXPECT_EQ(proxy.trafficIndex(), 5U);
}

ControlReply difference(std::uint64_t index, const traffic_difference& sent) {
  ProxyUpdate update;
  update.registry_epoch = 7;
  update.registry_counter = 1;
  update.traffic_index = index;
  update.traffic_difference = encode(sent);
  ControlReply reply;
  reply.authoritative = true;
  reply.proxy_update = encode(update);
  return reply;
}

TrafficConfiguration numbered(std::uint64_t number) {
  TrafficConfiguration configuration;
  configuration.number = number;
  return configuration;
}

bool acceptsDifferences(const OutgoingPoll& poll) {
  return decode<ProxyPoll>(poll.request.proxy_poll)->accepts_differences;
}

TEST(ProxySession, MismatchedDifferenceIsRejectedAndTheFullConfigurationRequested) {
  ProxySession proxy = session();
  auto poll = proxy.takePoll(seconds(0));
  EXPECT_FALSE(acceptsDifferences(*poll));
  proxy.onReply(poll->poll_id, reply(5, true), seconds(0));
  poll = proxy.takePoll(seconds(1));
  EXPECT_TRUE(acceptsDifferences(*poll));
  const auto fitting = difference_of(5, numbered(5), numbered(6));
  proxy.onReply(poll->poll_id, difference(6, fitting), seconds(1));
  EXPECT_EQ(proxy.traffic().number, 6U);
  poll = proxy.takePoll(seconds(2));
  const auto of_another_base = difference_of(4, numbered(6), numbered(7));
  proxy.onReply(poll->poll_id, difference(7, of_another_base), seconds(2));
  EXPECT_EQ(proxy.traffic().number, 6U);
  poll = proxy.takePoll(seconds(3));
  EXPECT_FALSE(acceptsDifferences(*poll));
  proxy.onReply(poll->poll_id, reply(7, true), seconds(3));
  poll = proxy.takePoll(seconds(4));
  EXPECT_TRUE(acceptsDifferences(*poll));
  auto damaged = difference_of(7, numbered(7), numbered(8));
  damaged.digest += 1;
  proxy.onReply(poll->poll_id, difference(8, damaged), seconds(4));
  EXPECT_EQ(proxy.traffic().number, 7U);
}

TEST(ProxySession, NonAuthoritativeAnswerGivesNoConfigurationAndSwitchesMember) {
  ProxySession proxy = session();
  const auto first = proxy.takePoll(TimePoint(0));
  ASSERT_TRUE(first);
  proxy.onReply(first->poll_id, reply(5, false, {record("10.0.0.9:1")}), TimePoint(0));
  EXPECT_FALSE(proxy.hasTraffic());
  EXPECT_EQ(proxy.takeInstances().size(), 1U);
  const auto second = proxy.takePoll(seconds(1));
  ASSERT_TRUE(second);
  EXPECT_NE(second->address, first->address);
}

TEST(ProxySession, UnconfirmedAnswersProveNothingAndSwitchMember) {
  ProxySessionOptions options;
  options.seeds = {"10.0.0.1:1", "10.0.0.2:1"};
  options.requests_quorum_confirmation = true;
  ProxySession proxy(options);
  ControlReply confirmed = reply(5, true);
  confirmed.quorum_confirmed = true;
  auto poll = proxy.takePoll(TimePoint(0));
  EXPECT_TRUE(proxy.onReply(poll->poll_id, confirmed, TimePoint(0)));
  const std::string first = poll->address;
  for (int unconfirmed = 0; unconfirmed < 2; ++unconfirmed) {
    poll = proxy.takePoll(seconds(1 + unconfirmed));
    EXPECT_EQ(poll->address, first);
    EXPECT_FALSE(proxy.onReply(poll->poll_id, reply(5, true), seconds(1 + unconfirmed)));
  }
  poll = proxy.takePoll(seconds(10));
  EXPECT_NE(poll->address, first);
}

// A quorum confirms the member's configuration. That proves nothing for an older one held here.
TEST(ProxySession, UnreadableConfirmedAnswerProvesNothing) {
  ProxySession proxy = session();
  ControlReply confirmed = reply(5, true);
  confirmed.quorum_confirmed = true;
  ProxyUpdate broken;
  broken.traffic_index = 6;
  broken.traffic = "not a configuration";
  confirmed.proxy_update = encode(broken);
  const auto poll = proxy.takePoll(TimePoint(0));
  EXPECT_FALSE(proxy.onReply(poll->poll_id, confirmed, TimePoint(0)));
}

TEST(ProxySession, KeepsPollingAfterManyFailures) {
  ProxySession proxy = session();
  TimePoint now{0};
  for (int failed = 0; failed < 50; ++failed) {
    const auto poll = proxy.takePoll(now);
    ASSERT_TRUE(poll) << failed;
    now += poll->timeout;
    proxy.onReply(poll->poll_id, std::nullopt, now);
    ASSERT_TRUE(proxy.nextPoll());
    EXPECT_LT(*proxy.nextPoll() - now, seconds(1));
    now = *proxy.nextPoll();
  }
}

TEST(ProxySession, OwnRecordChangeIsSentDuringAHeldPoll) {
  ProxySession proxy = session();
  const auto held = proxy.takePoll(TimePoint(0));
  ASSERT_TRUE(held);
  EXPECT_FALSE(proxy.takePoll(milliseconds(1)));
  proxy.setOwnRecord(record("10.0.0.5:1"));
  const auto next = proxy.takePoll(milliseconds(1));
  ASSERT_TRUE(next);
  const auto sent = decode<ProxyPoll>(next->request.proxy_poll);
  ASSERT_TRUE(sent);
  EXPECT_TRUE(sent->has_self);
  EXPECT_EQ(sent->self.server_incarnation, "i");
}

TEST(ProxySession, OwnRecordSupersedesThatOfAFormerProcess) {
  ProxySession proxy = session(10);
  proxy.setOwnRecord(record("10.0.0.5:1"));
  const auto poll = proxy.takePoll(TimePoint(0));
  InstanceRecord former = record("10.0.0.5:1");
  former.proxy_incarnation = 99;
  former.revision = 3;
  proxy.onReply(poll->poll_id, reply(5, true, {former}), TimePoint(0));
  EXPECT_TRUE(proxy.ownRecord().isNewerThan(former));
  EXPECT_TRUE(proxy.takeInstances().empty());
}

/// The leader of a control group with a single member.
class SingleMember {
 public:
  SingleMember() : core_(options(), RaftRecovery{}, TimePoint(0)) {
    ControlRequest bootstrap;
    bootstrap.type = ControlRequestType::kBootstrap;
    core_.onRequest(1, bootstrap, now_);
    run();
  }
  std::vector<ControlAnswer> ask(ControlToken token, const ControlRequest& request) {
    core_.onRequest(token, request, now_);
    return run();
  }
  std::vector<ControlAnswer> run(Duration time = milliseconds(200)) {
    std::vector<ControlAnswer> answers;
    for (const TimePoint end = now_ + time; now_ < end; now_ += milliseconds(10)) {
      core_.tick(now_, 0);
      for (ControlWork work = core_.take(now_); !work.empty(); work = core_.take(now_)) {
        answers.insert(answers.end(), work.answers.begin(), work.answers.end());
        core_.done(work, now_);
      }
    }
    return answers;
  }

  [[nodiscard]] LogIndex logLength() const {
    return core_.raft().lastIndex() - core_.raft().snapshotIndex();
  }

 private:
  static ControlOptions options() {
    ControlOptions options;
    options.name = "one";
    options.address = "10.0.0.1:1";
    options.raft.id = 1;
    options.registry_epoch = 7;
    options.snapshots.max_log_ratio = 8;
    return options;
  }
  TimePoint now_{0};
  ControlCore core_;
};

ControlRequest replaceTraffic(std::uint64_t base, std::uint64_t number,
                              const std::string& text = "document ") {
  TrafficReplacement replacement;
  replacement.base_number = base;
  replacement.configuration.number = number;
  replacement.document = text + std::to_string(number);
  ControlRequest request;
  request.type = ControlRequestType::kCommand;
  request.command.type = CommandType::kReplaceTraffic;
  request.command.traffic = encode(replacement);
  return request;
}

TEST(ControlMember, HeldPollsAreAnsweredOnNewConfigurationsAndServers) {
  SingleMember member;
  ControlRequest request;
  request.type = ControlRequestType::kProxyPoll;
  ProxyPoll poll;
  poll.registry_epoch = 7;
  poll.hold = seconds(10);
  request.proxy_poll = encode(poll);
  EXPECT_TRUE(member.ask(2, request).empty());
  const auto changed = member.ask(3, replaceTraffic(0, 4));
  ASSERT_EQ(changed.size(), 2U);
  ControlRequest read;
  read.type = ControlRequestType::kReadTraffic;
  const auto document = member.ask(4, read);
  ASSERT_EQ(document.size(), 1U);
  EXPECT_EQ(document.front().reply.traffic_document, "document 4");
  poll.traffic_index = 1000;
  request.proxy_poll = encode(poll);
  EXPECT_TRUE(member.ask(5, request).empty());
  ProxyPoll other = poll;
  other.has_self = true;
  other.self = record("10.0.0.6:1");
  other.self.proxy_incarnation = 1;
  other.hold = Duration(0);
  request.proxy_poll = encode(other);
  const auto answers = member.ask(6, request);
  ASSERT_EQ(answers.size(), 2U);
  const auto update = decode<ProxyUpdate>(answers.back().reply.proxy_update);
  ASSERT_TRUE(update);
  ASSERT_EQ(update->instances.size(), 1U);
  EXPECT_EQ(update->instances.front().value.proxy_address, "10.0.0.6:1");
}

// A member applies its log before it serves requests. Guards against a start delayed by hundreds of
// changes in the log.
TEST(ControlMember, SnapshotReplacesALogOfLargeConfigurations) {
  SingleMember member;
  const std::string text(100'000, 'x');
  for (std::uint64_t number = 1; number <= 100; ++number) {
    member.ask(number, replaceTraffic(number - 1, number, text));
    EXPECT_LE(member.logLength(), 9U);
  }
}

TEST(ControlMember, PollWithoutAConfigurationWaitsForTheLeader) {
  ControlOptions options;
  options.raft.id = 2;
  ControlCore follower(options, RaftRecovery{}, TimePoint(0));
  ControlRequest request;
  request.type = ControlRequestType::kProxyPoll;
  ProxyPoll poll;
  poll.hold = milliseconds(300);
  request.proxy_poll = encode(poll);
  follower.onRequest(1, request, TimePoint(0));
  EXPECT_TRUE(follower.take(TimePoint(0)).answers.empty());
  poll.traffic_index = 5;
  request.proxy_poll = encode(poll);
  follower.onRequest(2, request, TimePoint(0));
  const ControlWork sent = follower.take(TimePoint(0));
  ASSERT_EQ(sent.answers.size(), 1U);
  EXPECT_EQ(sent.answers.front().token, 2U);
  EXPECT_FALSE(sent.answers.front().reply.authoritative);
  follower.tick(milliseconds(300), 0);
  EXPECT_EQ(follower.take(milliseconds(300)).answers.size(), 1U);
}

}  // namespace
}  // namespace ramppond
