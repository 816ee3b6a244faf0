// Initial membership of a control group whose members are all started with the same address list.
//
// Every member computes the same membership without communication, because node ids and the group
// id are derived from the addresses alone. A member that later restarts with an empty disk draws a
// random id instead (see RaftStorage). All functions are pure.
#pragma once

#include <string>
#include <vector>

#include "core/consensus/raft_messages.h"

namespace ramppond {

/// Returns the node id of the member at `address` in the initial membership; never 0.
NodeId initialNodeId(const std::string& address);
/// Returns a membership with each distinct address as a voter, independent of their order.
Membership initialMembership(std::vector<std::string> addresses);
/// Returns the id of the group that starts with `membership`; never 0.
std::uint64_t initialGroupId(const Membership& membership);

}  // namespace ramppond
