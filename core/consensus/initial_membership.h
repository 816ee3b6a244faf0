// The membership with which a group of several control members starts at once.
//
// All of them are given the same addresses and must come to the same result without talking: each
// member's identity and the group's number are derived from the addresses. A member that later
// comes back with an empty disk draws a random identity instead (RaftStorage).
#pragma once

#include <string>
#include <vector>

#include "core/consensus/raft_messages.h"

namespace ramppond {

/// Identity of the member at `address` in a group's first membership; never 0.
NodeId initialNodeId(const std::string& address);
/// All of `addresses` as voters. The order does not matter.
Membership initialMembership(std::vector<std::string> addresses);
/// The number of the group that starts with this membership; never 0.
std::uint64_t initialGroupId(const Membership& membership);

}  // namespace ramppond
