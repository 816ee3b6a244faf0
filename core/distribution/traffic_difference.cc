#include "core/distribution/traffic_difference.h"

#include <xxhash.h>

#include <map>

#include "core/cbor_codec.h"

namespace ramppond {
namespace {

auto digest_of(const TrafficConfiguration& configuration) -> std::uint64_t {
  const auto encoded = encode(configuration);
  return XXH3_64bits(encoded.data(), encoded.size());
}

template <class Entry>
auto difference_of_lists(const std::vector<Entry>& earlier, const std::vector<Entry>& later)
    -> std::vector<list_part<Entry>> {
  auto locations = std::map<std::string, std::uint64_t>();
  for (auto i = std::size_t(0); i < earlier.size(); ++i) {
    locations[encode(earlier[i])] = i;
  }
  auto parts = std::vector<list_part<Entry>>();
  for (const auto& entry : later) {
    const auto place = locations.find(encode(entry));
    if (place == locations.end()) {
      if (parts.empty() || parts.back().count > 0) {
        parts.emplace_back();
      }
      parts.back().added.push_back(entry);
      continue;
    }
    const auto follows = !parts.empty() && parts.back().count > 0 &&
                         parts.back().first + parts.back().count == place->second;
    if (follows) {
      parts.back().count += 1;
    } else {
      parts.push_back({place->second, 1, {}});
    }
  }
  return parts;
}

template <class Entry>
auto apply_to_list(const std::vector<list_part<Entry>>& parts, const std::vector<Entry>& earlier,
                   std::vector<Entry>& later) -> bool {
  for (const auto& part : parts) {
    if (part.first > earlier.size() || part.count > earlier.size() - part.first) {
      return false;
    }
    const auto first = earlier.begin() + static_cast<std::ptrdiff_t>(part.first);
    later.insert(later.end(), first, first + static_cast<std::ptrdiff_t>(part.count));
    later.insert(later.end(), part.added.begin(), part.added.end());
  }
  return true;
}

}  // namespace

auto difference_of(std::uint64_t base_index, const TrafficConfiguration& earlier,
                   const TrafficConfiguration& later) -> traffic_difference {
  auto difference = traffic_difference();
  difference.base_index = base_index;
  difference.number = later.number;
  difference.routes = difference_of_lists(earlier.routes, later.routes);
  difference.services = difference_of_lists(earlier.services, later.services);
  difference.tenants = difference_of_lists(earlier.tenants, later.tenants);
  difference.limits = later.limits;
  difference.digest = digest_of(later);
  return difference;
}

auto apply(const traffic_difference& difference, const TrafficConfiguration& earlier)
    -> std::optional<TrafficConfiguration> {
  auto later = TrafficConfiguration();
  later.number = difference.number;
  later.limits = difference.limits;
  const auto fits = apply_to_list(difference.routes, earlier.routes, later.routes) &&
                    apply_to_list(difference.services, earlier.services, later.services) &&
                    apply_to_list(difference.tenants, earlier.tenants, later.tenants);
  if (!fits || digest_of(later) != difference.digest) {
    return std::nullopt;
  }
  return later;
}

}  // namespace ramppond
