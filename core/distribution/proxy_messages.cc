#include "core/distribution/proxy_messages.h"

namespace ramppond {

std::vector<ControlMemberPlace> placesOf(const ProxyNews& news) {
  std::vector<ControlMemberPlace> places;
  for (std::size_t index = 0; index < news.member_addresses.size(); ++index) {
    const bool has_zone = index < news.member_zones.size();
    places.push_back(
        {news.member_addresses[index], has_zone ? news.member_zones[index] : std::string()});
  }
  return places;
}

}  // namespace ramppond
