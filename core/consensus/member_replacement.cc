#include "core/consensus/member_replacement.h"

#include <algorithm>

namespace ramppond {
namespace {

Membership without(const Membership& membership, NodeId id) {
  Membership next;
  for (const Member& member : membership.members) {
    if (member.id != id) {
      next.members.push_back(member);
    }
  }
  return next;
}

const Member* findByAddress(const Membership& membership, const std::string& address) {
  const auto found = std::find_if(membership.members.begin(), membership.members.end(),
                                  [&](const Member& member) { return member.address == address; });
  return found == membership.members.end() ? nullptr : &*found;
}

}  // namespace

std::optional<Membership> nextMembership(const Membership& current,
                                         const std::vector<Member>& joiners,
                                         const std::vector<VoterSilence>& silences) {
  for (const Member& joiner : joiners) {
    if (current.find(joiner.id) != nullptr) {
      continue;
    }
    const Member* former = findByAddress(current, joiner.address);
    if (former != nullptr) {
      return without(current, former->id);
    }
    Membership next = current;
    next.members.push_back(joiner);
    next.members.back().voter = false;
    return next;
  }
  if (current.voterCount() <= kMinimumVoters) {
    return std::nullopt;
  }
  const auto longest = std::max_element(silences.begin(), silences.end(),
                                        [](const VoterSilence& left, const VoterSilence& right) {
                                          return left.silent_for < right.silent_for;
                                        });
  if (longest == silences.end() || longest->silent_for < kSilentVoterTimeout) {
    return std::nullopt;
  }
  return without(current, longest->id);
}

}  // namespace ramppond
