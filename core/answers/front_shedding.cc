#include "core/answers/front_shedding.h"

namespace ramppond {

auto refusing_overload(const std::vector<service_overload>& below, std::uint32_t less_urgent,
                       Random& random) -> const service_overload* {
  for (const auto& overload : below) {
    if (random.uniform() < shed_share(overload.level, less_urgent)) {
      return &overload;
    }
  }
  return nullptr;
}

}  // namespace ramppond
