#include "core/idle_watch.h"

#include <gtest/gtest.h>

namespace ramppond {
namespace {

TEST(idle_watch, the_first_idle_moment_is_not_enough) {
  auto watch = idle_watch();
  watch.observe(1, milliseconds(0));
  watch.observe(0, milliseconds(100));
  EXPECT_FALSE(watch.has_lasted(milliseconds(100)));
  watch.observe(0, milliseconds(200));
  EXPECT_FALSE(watch.has_lasted(milliseconds(200)));
  watch.observe(0, milliseconds(300));
  EXPECT_TRUE(watch.has_lasted(milliseconds(300)));
}

TEST(idle_watch, a_request_in_between_starts_it_anew) {
  auto watch = idle_watch();
  watch.observe(0, milliseconds(0));
  watch.observe(2, milliseconds(100));
  watch.observe(0, milliseconds(200));
  EXPECT_FALSE(watch.has_lasted(milliseconds(300)));
  EXPECT_TRUE(watch.has_lasted(milliseconds(400)));
}

}  // namespace
}  // namespace ramppond
