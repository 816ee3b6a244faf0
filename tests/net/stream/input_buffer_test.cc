#include "net/stream/input_buffer.h"

#include <gtest/gtest.h>

namespace ramppond {
namespace {

TEST(InputBufferTest, GivesBackWhatWasAddedInOrder) {
  InputBuffer buffer;
  std::string expected;
  std::string taken;
  for (int step = 0; step < 1000; ++step) {
    const std::string bytes = std::to_string(step) + ";";
    buffer.append(bytes);
    expected += bytes;
    const std::size_t count = buffer.size() * static_cast<std::size_t>(step % 3) / 3;
    taken += buffer.view().substr(0, count);
    buffer.consume(count);
  }
  taken += buffer.view();
  EXPECT_EQ(taken, expected);
}

TEST(InputBufferTest, IsEmptyAfterAllWasTakenOrCleared) {
  InputBuffer buffer;
  EXPECT_TRUE(buffer.empty());
  buffer.append("abc");
  buffer.consume(3);
  EXPECT_TRUE(buffer.empty());
  buffer.append("def");
  buffer.consume(1);
  EXPECT_EQ(buffer.view(), "ef");
  buffer.clear();
  EXPECT_EQ(buffer.size(), 0U);
}

}  // namespace
}  // namespace ramppond
