#include "daemon/proxy/forwarded_body.h"

#include <gtest/gtest.h>

namespace ramppond {
namespace {

TEST(forwarded_body, a_short_body_is_held_when_it_has_ended) {
  auto body = forwarded_body();
  body.count(5);
  body.append("short");
  EXPECT_FALSE(body.exceeds_hold());
  EXPECT_FALSE(body.ended());
  body.end();
  EXPECT_TRUE(body.ended());
  EXPECT_FALSE(body.is_streamed());
  EXPECT_EQ(body.bytes(), "short");
}

TEST(forwarded_body, the_hold_is_exceeded_by_its_bound) {
  auto body = forwarded_body();
  body.append(std::string(max_held_body - 1, 'x'));
  EXPECT_FALSE(body.exceeds_hold());
  body.append("x");
  EXPECT_TRUE(body.exceeds_hold());
}

TEST(forwarded_body, a_streamed_body_stays_so_after_its_end) {
  auto body = forwarded_body();
  body.append("part");
  body.stream();
  EXPECT_TRUE(body.is_streamed());
  EXPECT_FALSE(body.ended());
  body.end();
  EXPECT_TRUE(body.is_streamed());
  EXPECT_TRUE(body.ended());
}

TEST(forwarded_body, release_drops_what_is_held_and_keeps_the_count) {
  auto body = forwarded_body();
  body.count(4);
  body.append("part");
  body.stream();
  body.release();
  EXPECT_EQ(body.bytes(), "");
  EXPECT_EQ(body.size(), 4U);
}

}  // namespace
}  // namespace ramppond
