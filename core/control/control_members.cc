// ControlCore: membership changes of the control group, and session pulls by other members.
#include <algorithm>

#include "core/cbor_codec.h"
#include "core/consensus/member_replacement.h"
#include "core/control/control_core.h"

namespace ramppond {
namespace {

constexpr Duration kMemberChangeInterval = milliseconds(100);
// A join request expires after this time. A joiner repeats its request well within it until it is a
// member.
constexpr Duration kJoinRequestLifetime = seconds(2);
constexpr std::size_t kMaximumJoiners = 16;

}  // namespace

void ControlCore::onMemberChange(ControlToken token, const ControlRequest& request) {
  Membership membership = raft_.membership();
  const Member* present = membership.findByName(request.member.name);
  if (request.type == ControlRequestType::kAddMember) {
    if (present != nullptr) {
      const bool same = present->id == request.member.id;
      answerError(token, same ? ErrorKind::kNone : ErrorKind::kVersionConflict,
                  same ? "already a member"
                       : "'" + present->name +
                             "' is a member under another identity; remove that one first");
      return;
    }
    Member learner = request.member;
    learner.voter = false;
    membership.members.push_back(std::move(learner));
  } else {
    if (present == nullptr) {
      answerError(token, ErrorKind::kNotFound, "no member '" + request.member.name + "'");
      return;
    }
    auto& members = membership.members;
    members.erase(
        std::remove_if(members.begin(), members.end(),
                       [&](const Member& member) { return member.name == request.member.name; }),
        members.end());
  }
  addProposal(token, raft_.proposeMembership(membership));
}

void ControlCore::onSessions(ControlToken token, const ControlRequest& request, TimePoint now) {
  ControlReply reply;
  reply.sessions = registry_.sessionsSince(request.sessions_since);
  reply.sessions_counter = registry_.sessionsCounter();
  const auto poll = decode<ProxyPoll>(request.proxy_poll);
  if (poll) {
    reply.proxy_update = encode(proxyUpdate(*poll, now));
  }
  answer(token, std::move(reply));
}

bool ControlCore::bootstrapGroup(std::uint64_t group_id, const Membership& members, TimePoint now) {
  const bool started = raft_.bootstrapGroup(group_id, members, now);
  state_.setGroupId(raft_.groupId());
  return started;
}

void ControlCore::onJoin(ControlToken token, const ControlRequest& request, TimePoint now) {
  if (raft_.role() != RaftRole::kLeader) {
    answerError(token, ErrorKind::kNotLeader, "this member does not lead");
    return;
  }
  const auto same = [&](const Joiner& joiner) { return joiner.member.id == request.member.id; };
  joiners_.erase(std::remove_if(joiners_.begin(), joiners_.end(), same), joiners_.end());
  if (joiners_.size() < kMaximumJoiners && raft_.membership().find(request.member.id) == nullptr) {
    joiners_.push_back({request.member, now});
  }
  answer(token, {});
  changeMembersIfDue(now);
}

void ControlCore::changeMembersIfDue(TimePoint now) {
  if (raft_.role() != RaftRole::kLeader || now < next_member_change_) {
    return;
  }
  next_member_change_ = now + kMemberChangeInterval;
  std::vector<Member> joiners;
  for (const Joiner& joiner : joiners_) {
    if (now - joiner.requested_at < kJoinRequestLifetime) {
      joiners.push_back(joiner.member);
    }
  }
  std::vector<VoterSilence> silences;
  for (const Member& member : raft_.membership().members) {
    const auto heard = raft_.lastHeardFrom(member.id);
    if (member.voter && member.id != raft_.id()) {
      silences.push_back({member.id, now - heard.value_or(raft_.leaderSince())});
    }
  }
  const auto next = nextMembership(raft_.membership(), joiners, silences);
  if (next) {
    static_cast<void>(raft_.proposeMembership(*next));
  }
}

}  // namespace ramppond
