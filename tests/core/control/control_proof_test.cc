// Answers to daemons that a quorum confirmed: given by followers too, never by a member that cannot
// know.
#include <gtest/gtest.h>

#include <optional>

#include "core/cbor_codec.h"
#include "tests/core/control/control_group.h"

namespace ramppond {
namespace {

/// A group, and one daemon that wants proof.
class ProvingGroup : public ControlGroup {
 public:
  void poll(std::size_t member) {
    ProxyPoll poll;
    poll.traffic_index = 1;
    poll.registry_epoch = member + 1;
    poll.wants_proof = true;
    poll.hold = milliseconds(500);
    ControlRequest asked;
    asked.type = ControlRequestType::kProxyPoll;
    asked.proxy_poll = encode(poll);
    token_ = request(member, asked);
  }
  /// The answer to the last poll, if it came.
  std::optional<ControlReply> answer() {
    const auto answers = takeAnswers();
    const auto found = answers.find(token_);
    return found == answers.end() ? std::nullopt : std::optional<ControlReply>(found->second);
  }

 private:
  ControlToken token_ = 0;
};

TEST(ControlProof, LeaderAndFollowersVouchForWhatTheyAnswer) {
  ProvingGroup group;
  for (std::size_t member = 0; member < group.size(); ++member) {
    group.poll(member);
    group.run(milliseconds(700));
    const auto answer = group.answer();
    ASSERT_TRUE(answer);
    EXPECT_TRUE(answer->authoritative);
    EXPECT_TRUE(answer->quorum_confirmed);
  }
}

// It still believes that it leads: the question comes within the election timeout.
TEST(ControlProof, ALeaderThatIsCutOffVouchesForNothing) {
  ProvingGroup group;
  const std::size_t deposed = group.leader();
  group.cutOff(deposed);
  group.poll(deposed);
  group.run(seconds(3));
  const auto answer = group.answer();
  ASSERT_TRUE(answer);
  EXPECT_FALSE(answer->quorum_confirmed);
}

TEST(ControlProof, AFollowerThatIsCutOffVouchesForNothing) {
  ProvingGroup group;
  const std::size_t follower = (group.leader() + 1) % group.size();
  group.cutOff(follower);
  group.poll(follower);
  group.run(seconds(3));
  const auto answer = group.answer();
  ASSERT_TRUE(answer);
  EXPECT_FALSE(answer->quorum_confirmed);
}

}  // namespace
}  // namespace ramppond
