// Answers to daemons that a quorum confirmed: given by followers too, never by a member that cannot
// know.
#include <gtest/gtest.h>

#include <memory>

#include "core/cbor_codec.h"
#include "core/control/control_core.h"

namespace ramppond {
namespace {

constexpr std::size_t kMembers = 3;
constexpr Duration kStep = milliseconds(10);

/// Three members in virtual time; any of them may be cut off from the others.
class Group {
 public:
  Group() {
    Membership membership;
    for (std::size_t index = 0; index < kMembers; ++index) {
      membership.members.push_back({index + 1, "m" + std::to_string(index), address(index), true});
    }
    for (std::size_t index = 0; index < kMembers; ++index) {
      ControlOptions options;
      options.name = membership.members[index].name;
      options.address = address(index);
      options.raft.id = index + 1;
      options.raft.random_seed = index + 1;
      options.registry_epoch = index + 1;
      cores_.push_back(std::make_unique<ControlCore>(options, RaftRecovery{}, now_));
      cores_.back()->bootstrapGroup(1, membership, now_);
    }
    run(seconds(5));
  }

  void run(Duration time) {
    for (const TimePoint end = now_ + time; now_ < end; now_ += kStep) {
      for (std::size_t index = 0; index < kMembers; ++index) {
        cores_[index]->tick(now_, 0);
        work(index);
      }
    }
  }
  std::size_t leader() const {
    std::size_t found = 0;
    for (std::size_t index = 0; index < kMembers; ++index) {
      const RaftNode& raft = cores_[index]->raft();
      const bool newer = raft.term() >= cores_[found]->raft().term();
      found = raft.role() == RaftRole::kLeader && newer ? index : found;
    }
    return found;
  }
  void poll(std::size_t member) {
    ProxyPoll poll;
    poll.traffic_index = 1;
    poll.registry_epoch = member + 1;
    poll.wants_proof = true;
    poll.hold = milliseconds(500);
    ControlRequest request;
    request.type = ControlRequestType::kProxyPoll;
    request.proxy_poll = encode(poll);
    answers_.clear();
    cores_[member]->onRequest(77, request, now_);
  }
  /// The answer to the last poll, if it came.
  const ControlReply* answer() const {
    const auto found = answers_.find(77);
    return found == answers_.end() ? nullptr : &found->second;
  }
  void cutOff(std::size_t member) { cut_off_ = member; }

 private:
  static std::string address(std::size_t index) { return "10.0.0." + std::to_string(index) + ":1"; }
  static std::size_t indexOf(const std::string& address) {
    return static_cast<std::size_t>(address.at(7) - '0');
  }
  bool reach(std::size_t from, std::size_t to) const { return from != cut_off_ && to != cut_off_; }

  void work(std::size_t index) {
    for (ControlWork work = cores_[index]->take(now_); !work.empty();
         work = cores_[index]->take(now_)) {
      for (const RaftMessage& message : work.raft.messages) {
        if (reach(index, message.to - 1)) {
          cores_[message.to - 1]->onRaftMessage(message, address(index), now_);
        }
      }
      for (const ControlAnswer& answer : work.answers) {
        deliver(index, answer);
      }
      for (const MemberRequest& request : work.member_requests) {
        ask(index, request);
      }
      cores_[index]->done(work, now_);
    }
  }
  void ask(std::size_t from, const MemberRequest& request) {
    const std::size_t to = indexOf(request.address);
    if (!reach(from, to)) {
      return;
    }
    const ControlToken token = next_token_++;
    asked_[token] = {from, request.request_id};
    cores_[to]->onRequest(token, request.request, now_);
  }
  void deliver(std::size_t from, const ControlAnswer& answer) {
    const auto asked = asked_.find(answer.token);
    if (asked == asked_.end()) {
      answers_[answer.token] = answer.reply;
      return;
    }
    if (reach(from, asked->second.member)) {
      cores_[asked->second.member]->onMemberReply(asked->second.request_id, answer.reply, now_);
    }
    asked_.erase(asked);
  }

  struct Asked {
    std::size_t member = 0;
    std::uint64_t request_id = 0;
  };
  TimePoint now_{0};
  std::vector<std::unique_ptr<ControlCore>> cores_;
  std::map<ControlToken, Asked> asked_;
  std::map<ControlToken, ControlReply> answers_;
  ControlToken next_token_ = 1000;
  std::size_t cut_off_ = kMembers;
};

TEST(ControlProof, LeaderAndFollowersVouchForWhatTheyAnswer) {
  Group group;
  for (std::size_t member = 0; member < kMembers; ++member) {
    group.poll(member);
    group.run(milliseconds(700));
    ASSERT_NE(group.answer(), nullptr);
    EXPECT_TRUE(group.answer()->authoritative);
    EXPECT_TRUE(group.answer()->quorum_confirmed);
  }
}

// It still believes that it leads: the question comes within the election timeout.
TEST(ControlProof, ALeaderThatIsCutOffVouchesForNothing) {
  Group group;
  const std::size_t deposed = group.leader();
  group.cutOff(deposed);
  group.poll(deposed);
  group.run(seconds(3));
  ASSERT_NE(group.answer(), nullptr);
  EXPECT_FALSE(group.answer()->quorum_confirmed);
}

TEST(ControlProof, AFollowerThatIsCutOffVouchesForNothing) {
  Group group;
  const std::size_t follower = (group.leader() + 1) % kMembers;
  group.cutOff(follower);
  group.poll(follower);
  group.run(seconds(3));
  ASSERT_NE(group.answer(), nullptr);
  EXPECT_FALSE(group.answer()->quorum_confirmed);
}

}  // namespace
}  // namespace ramppond
