#include "common/clock.h"

#include <ctime>

namespace ramppond {

TimePoint monotonicNow() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return seconds(time.tv_sec) +
         std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace ramppond
