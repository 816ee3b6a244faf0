#include "common/clock.h"

#include <gtest/gtest.h>

#include <ctime>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace ramppond {
namespace {

auto time_since_boot() -> TimePoint {
  auto time = timespec();
  clock_gettime(CLOCK_BOOTTIME, &time);
  return seconds(time.tv_sec) +
         std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(time.tv_nsec));
}

TEST(clock, counts_the_time_for_which_the_machine_is_suspended) {
  const auto before = time_since_boot();
  const auto now = monotonicNow();
  const auto timers = SuspensionClock::now().time_since_epoch();
  const auto after = time_since_boot();
  EXPECT_LE(before, now);
  EXPECT_LE(now, timers);
  EXPECT_LE(timers, after);
}

// A machine that was never suspended shows no difference between the clocks, so the sources are
// read: a lease or an age on another clock is as long too long as the machine was suspended.
TEST(clock, is_the_only_one_for_ages_in_all_programs) {
  const auto root = std::filesystem::path(RAMPPOND_DEPLOY_FOLDER).parent_path();
  auto read = 0;
  for (const auto* folder :
       {"cli", "common", "control", "core", "daemon", "lab", "net", "platform", "storage"}) {
    for (const auto& entry : std::filesystem::recursive_directory_iterator(root / folder)) {
      if (!entry.is_regular_file()) {
        continue;
      }
      auto text = std::stringstream();
      text << std::ifstream(entry.path()).rdbuf();
      for (const auto* other : {"steady_clock", "steady_timer", "CLOCK_MONOTONIC"}) {
        EXPECT_EQ(text.str().find(other), std::string::npos) << entry.path() << ": " << other;
      }
      ++read;
    }
  }
  EXPECT_GT(read, 200);
}

}  // namespace
}  // namespace ramppond
