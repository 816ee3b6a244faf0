#include "core/consensus/initial_membership.h"

#include <xxhash.h>

#include <algorithm>

namespace ramppond {
namespace {

std::uint64_t nonZeroHash(const std::string& text) {
  const std::uint64_t hash = XXH3_64bits(text.data(), text.size());
  return hash == 0 ? 1 : hash;
}

}  // namespace

NodeId initialNodeId(const std::string& address) {
  return nonZeroHash("member " + address);
}

Membership initialMembership(std::vector<std::string> addresses) {
  std::sort(addresses.begin(), addresses.end());
  addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
  Membership membership;
  for (const std::string& address : addresses) {
    membership.members.push_back({initialNodeId(address), address, address, true});
  }
  return membership;
}

std::uint64_t initialGroupId(const Membership& membership) {
  std::string text = "group";
  for (const Member& member : membership.members) {
    text += ' ' + member.address;
  }
  return nonZeroHash(text);
}

}  // namespace ramppond
