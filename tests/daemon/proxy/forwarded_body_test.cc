#include "daemon/proxy/forwarded_body.h"

#include <gtest/gtest.h>

namespace ramppond {
namespace {

TEST(forwarded_body, short_body_is_buffered_when_ended) {
  auto body = forwarded_body();
  body.count_received(5);
  body.append("short");
  EXPECT_FALSE(body.exceeds_buffer_limit());
  EXPECT_FALSE(body.ended());
  body.end();
  EXPECT_TRUE(body.ended());
  EXPECT_FALSE(body.is_streamed());
  EXPECT_EQ(body.bytes(), "short");
}

TEST(forwarded_body, buffer_limit_is_exceeded_at_the_maximum) {
  auto body = forwarded_body();
  body.append(std::string(max_buffered_body_bytes - 1, 'x'));
  EXPECT_FALSE(body.exceeds_buffer_limit());
  body.append("x");
  EXPECT_TRUE(body.exceeds_buffer_limit());
}

TEST(forwarded_body, streamed_body_stays_streamed_when_ended) {
  auto body = forwarded_body();
  body.append("part");
  body.start_streaming();
  EXPECT_TRUE(body.is_streamed());
  EXPECT_FALSE(body.ended());
  body.end();
  EXPECT_TRUE(body.is_streamed());
  EXPECT_TRUE(body.ended());
}

TEST(forwarded_body, release_buffer_drops_bytes_and_keeps_size) {
  auto body = forwarded_body();
  body.count_received(4);
  body.append("part");
  body.start_streaming();
  body.release_buffer();
  EXPECT_EQ(body.bytes(), "");
  EXPECT_EQ(body.size(), 4U);
}

}  // namespace
}  // namespace ramppond
