// Which member change comes next, so that control members replace themselves without an operator.
//
// The leader asks this after every request to join and on its ticks. One change at a time (Ongaro's
// thesis, 4.1), each through the log. A member whose disk was lost comes back under a new identity
// at its old address: the old identity can never vote again, so it is removed first. A machine at a
// new address joins as a learner, is promoted when it has caught up, and only then does a voter
// that has long been silent give way.
#pragma once

#include <optional>
#include <vector>

#include "core/consensus/raft_messages.h"
#include "core/time.h"

namespace ramppond {

/// A voter as the leader sees it.
struct VoterSilence {
  NodeId id = 0;
  Duration silent_for{0};
};

/// The group keeps at least this many voters, however long some are silent.
constexpr std::size_t kVotersKept = 3;
/// A voter is removed when it was silent this long and enough others stand. Longer than a restart.
constexpr Duration kSilentVoterRemoved = seconds(3);

/// The next membership to propose, or nothing. `joiners` have asked to join; `silences` holds the
/// voters other than the leader.
std::optional<Membership> nextMembership(const Membership& current,
                                         const std::vector<Member>& joiners,
                                         const std::vector<VoterSilence>& silences);

}  // namespace ramppond
