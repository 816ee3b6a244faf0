#include "core/distribution/proxy_messages.h"

#include <xxhash.h>

#include <algorithm>

namespace ramppond {

std::vector<ControlMemberLocation> locationsOf(const ProxyUpdate& update) {
  std::vector<ControlMemberLocation> locations;
  for (std::size_t index = 0; index < update.member_addresses.size(); ++index) {
    const bool has_zone = index < update.member_zones.size();
    locations.push_back(
        {update.member_addresses[index], has_zone ? update.member_zones[index] : std::string()});
  }
  return locations;
}

std::uint64_t digestOf(std::vector<ControlMemberLocation> members) {
  std::sort(members.begin(), members.end(),
            [](const auto& left, const auto& right) { return left.address < right.address; });
  std::string text;
  for (const ControlMemberLocation& member : members) {
    text += member.address + ' ' + member.zone + '\n';
  }
  return std::max<std::uint64_t>(XXH3_64bits(text.data(), text.size()), 1);
}

}  // namespace ramppond
