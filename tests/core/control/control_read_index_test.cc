// Guards against answers to daemons that claim a quorum's confirmation without having it: the
// leader and its followers give confirmed answers, a partitioned member never does.
#include <gtest/gtest.h>

#include <optional>

#include "core/cbor_codec.h"
#include "tests/core/control/control_group.h"

namespace ramppond {
namespace {

/// A group polled by one daemon that requests a quorum's confirmation.
class PollingGroup : public ControlGroup {
 public:
  void poll(std::size_t member) {
    ProxyPoll poll;
    poll.traffic_index = 1;
    poll.registry_epoch = member + 1;
    poll.requests_quorum_confirmation = true;
    poll.hold = milliseconds(500);
    ControlRequest poll_request;
    poll_request.type = ControlRequestType::kProxyPoll;
    poll_request.proxy_poll = encode(poll);
    token_ = request(member, poll_request);
  }
  /// The answer to the last poll; std::nullopt if there is none yet.
  std::optional<ControlReply> answer() {
    const auto answers = takeAnswers();
    const auto found = answers.find(token_);
    return found == answers.end() ? std::nullopt : std::optional<ControlReply>(found->second);
  }

 private:
  ControlToken token_ = 0;
};

TEST(ControlReadIndex, LeaderAndFollowerAnswersAreConfirmedByQuorum) {
  PollingGroup group;
  for (std::size_t member = 0; member < group.size(); ++member) {
    group.poll(member);
    group.run(milliseconds(700));
    const auto answer = group.answer();
    ASSERT_TRUE(answer);
    EXPECT_TRUE(answer->authoritative);
    EXPECT_TRUE(answer->quorum_confirmed);
  }
}

// The poll arrives within the election timeout, so that the partitioned member still takes itself
// for the leader.
TEST(ControlReadIndex, PartitionedLeaderAnswerIsNotConfirmed) {
  PollingGroup group;
  const std::size_t isolated_leader = group.leader();
  group.isolate(isolated_leader);
  group.poll(isolated_leader);
  group.run(seconds(3));
  const auto answer = group.answer();
  ASSERT_TRUE(answer);
  EXPECT_FALSE(answer->quorum_confirmed);
}

TEST(ControlReadIndex, PartitionedFollowerAnswerIsNotConfirmed) {
  PollingGroup group;
  const std::size_t follower = (group.leader() + 1) % group.size();
  group.isolate(follower);
  group.poll(follower);
  group.run(seconds(3));
  const auto answer = group.answer();
  ASSERT_TRUE(answer);
  EXPECT_FALSE(answer->quorum_confirmed);
}

}  // namespace
}  // namespace ramppond
