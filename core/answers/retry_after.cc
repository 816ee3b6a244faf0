#include "core/answers/retry_after.h"

#include <algorithm>

namespace ramppond {

auto min_retry_after_for(Duration goal) -> Duration {
  return std::max(goal / retry_after_divisor, retry_after_floor);
}

auto add_retry_after_jitter(Duration least, retry_after_draw draw) -> Duration {
  const auto time = static_cast<double>(least.count()) * (1 + draw.value);
  return Duration(static_cast<std::int64_t>(time));
}

auto format_retry_after(Duration time) -> std::string {
  const auto thousandths = std::chrono::duration_cast<milliseconds>(time).count();
  auto digits = std::to_string(thousandths % 1000);
  digits.insert(0, 3 - digits.size(), '0');
  return std::to_string(thousandths / 1000) + "." + digits;
}

}  // namespace ramppond
