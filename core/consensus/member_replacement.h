// Chooses the next membership change, so that failed control members are replaced without an
// operator.
//
// The leader evaluates this after every join request and on its ticks. Changes go through the log
// one at a time (Ongaro's thesis, 4.1):
// - A member that lost its disk rejoins at its old address under a new id. Its old id can never
//   vote again, so it is removed first.
// - A machine at a new address joins as a learner and is promoted once it has caught up. Only then
//   is a voter removed that has been silent for too long.
// Pure, no state of its own.
#pragma once

#include <optional>
#include <vector>

#include "core/consensus/raft_messages.h"
#include "core/time.h"

namespace ramppond {

/// How long the leader has not heard from a voter.
struct VoterSilence {
  NodeId id = 0;
  Duration silent_for{0};
};

/// No silent voter is removed while the group has at most this many voters.
constexpr std::size_t kMinimumVoters = 3;
/// A voter that has been silent this long may be removed. Longer than a restart takes.
constexpr Duration kSilentVoterTimeout = seconds(3);

/// Returns the next membership to propose, or std::nullopt if no change is due. `joiners` are the
/// members that have requested to join; `silences` covers the voters other than the leader.
std::optional<Membership> nextMembership(const Membership& current,
                                         const std::vector<Member>& joiners,
                                         const std::vector<VoterSilence>& silences);

}  // namespace ramppond
