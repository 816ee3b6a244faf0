#include "core/answers/return_shedding.h"

#include <algorithm>

namespace ramppond {

auto refusing_overload_of(return_arrival arrival, const std::vector<service_overload>& below,
                          std::uint32_t less_urgent, Random& random) -> const service_overload* {
  if (arrival != return_arrival::early) {
    const std::uint32_t ranks = less_urgent + (arrival == return_arrival::on_time ? 1 : 0);
    return refusing_overload(below, ranks, random);
  }
  const auto found = std::find_if(below.begin(), below.end(), [&](const auto& overload) {
    return shed_share(overload.level, less_urgent) > 0;
  });
  return found == below.end() ? nullptr : &*found;
}

}  // namespace ramppond
