#include "net/stream/control_channels.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "core/cbor_codec.h"
#include "tests/net/stream/free_endpoint.h"

namespace ramppond {
namespace {

class ControlChannelsTest : public testing::Test {
 protected:
  void startMembers(std::size_t count) {
    for (std::size_t member = 0; member < count; ++member) {
      endpoints_.push_back(freeEndpoint(loop_));
      servers_.push_back(std::make_unique<FrameServer>(
          loop_, endpoints_.back(),
          [this, member](FrameToken token, const Frame&) {
            servers_[member]->answer(token, FrameKind::kControlReply, encode(ControlReply()));
          },
          [](FrameToken) {}));
      ASSERT_EQ(servers_.back()->start(), std::nullopt);
    }
  }
  bool ask(std::size_t member) {
    bool answered = false;
    channels_.request(endpoints_[member].toString(), ControlRequest(), seconds(30),
                      [&](const std::optional<ControlReply>& reply) {
                        answered = reply.has_value();
                        loop_.stop();
                      });
    loop_.context().restart();
    loop_.run();
    return answered;
  }

  EventLoop loop_;
  std::vector<Endpoint> endpoints_;
  std::vector<std::unique_ptr<FrameServer>> servers_;
  ControlChannels channels_{loop_};
};

TEST_F(ControlChannelsTest, ConnectionsToMembersThatAreNotAskedAnyMoreAreClosed) {
  startMembers(3);
  for (std::size_t member = 0; member < 3; ++member) {
    EXPECT_TRUE(ask(member));
  }
  const TimePoint later = EventLoop::now() + milliseconds(1);
  while (EventLoop::now() <= later) {
  }
  EXPECT_TRUE(ask(1));
  EXPECT_EQ(channels_.open(), 3U);
  channels_.closeUnusedSince(later);
  EXPECT_EQ(channels_.open(), 1U);
  EXPECT_TRUE(ask(0));
  EXPECT_EQ(channels_.open(), 2U);
}

TEST_F(ControlChannelsTest, AConnectionThatAnAnswerIsAwaitedOnStays) {
  startMembers(1);
  channels_.request(endpoints_[0].toString(), ControlRequest(), seconds(30), [](const auto&) {});
  channels_.closeUnusedSince(EventLoop::now() + seconds(60));
  EXPECT_EQ(channels_.open(), 1U);
}

}  // namespace
}  // namespace ramppond
