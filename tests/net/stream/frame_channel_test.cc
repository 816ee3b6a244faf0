// Frames between processes: whole requests and answers, peers that are gone or silent.
#include "net/stream/frame_channel.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "tests/net/stream/free_endpoint.h"

namespace ramppond {
namespace {

class FrameChannelTest : public testing::Test {
 protected:
  void startServer(bool answers) {
    server_ = std::make_unique<FrameServer>(
        loop_, endpoint_,
        [this, answers](FrameToken token, const Frame& frame) {
          if (answers) {
            server_->answer(token, FrameKind::kControlReply, "re:" + frame.body);
          }
        },
        [](FrameToken) {});
    ASSERT_EQ(server_->start(), std::nullopt);
  }
  std::optional<std::string> ask(FrameChannel& channel, const std::string& body, Duration timeout) {
    std::optional<std::string> result;
    bool answered = false;
    channel.request(FrameKind::kControlRequest, body, timeout,
                    [&](const std::optional<std::string>& answer) {
                      answered = true;
                      result = answer;
                      loop_.stop();
                    });
    loop_.context().restart();
    loop_.run();
    EXPECT_TRUE(answered);
    return result;
  }

  EventLoop loop_;
  Endpoint endpoint_ = freeEndpoint(loop_);
  std::unique_ptr<FrameServer> server_;
};

TEST_F(FrameChannelTest, RequestsAreAnsweredOnOneConnection) {
  startServer(true);
  FrameChannel channel(loop_, endpoint_);
  EXPECT_EQ(ask(channel, "a", seconds(5)), "re:a");
  EXPECT_EQ(ask(channel, std::string(200000, 'x'), seconds(5)), "re:" + std::string(200000, 'x'));
}

TEST_F(FrameChannelTest, GoesOnAfterAPeerThatRefusedOrWasSilent) {
  FrameChannel channel(loop_, endpoint_);
  EXPECT_EQ(ask(channel, "a", seconds(5)), std::nullopt);
  EXPECT_EQ(ask(channel, "b", seconds(5)), std::nullopt);
  startServer(false);
  EXPECT_EQ(ask(channel, "c", milliseconds(50)), std::nullopt);
  EXPECT_EQ(ask(channel, "d", milliseconds(50)), std::nullopt);
  server_.reset();
  startServer(true);
  EXPECT_EQ(ask(channel, "e", seconds(5)), "re:e");
}

TEST_F(FrameChannelTest, ConnectionsThatHangAreGivenUp) {
  // An address of the documentation range (RFC 5737): nobody answers there.
  FrameChannel channel(loop_, {"192.0.2.1", 9});
  EXPECT_EQ(ask(channel, "a", milliseconds(30)), std::nullopt);
  EXPECT_EQ(ask(channel, "b", seconds(30)), std::nullopt);
}

// Listens, but drops whoever wants to connect: its queue of new connections is full.
class FullListener {
 public:
  FullListener(EventLoop& loop, const Endpoint& endpoint)
      : acceptor_(loop.context()), first_(loop.context()), second_(loop.context()) {
    using Tcp = boost::asio::ip::tcp;
    const Tcp::endpoint address(boost::asio::ip::make_address_v4(endpoint.host), endpoint.port);
    acceptor_.open(Tcp::v4());
    acceptor_.set_option(Tcp::acceptor::reuse_address(true));
    acceptor_.bind(address);
    acceptor_.listen(0);
    for (Tcp::socket* filler : {&first_, &second_}) {
      filler->async_connect(address, [](const boost::system::error_code&) {});
    }
  }

 private:
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::socket first_;
  boost::asio::ip::tcp::socket second_;
};

// A peer without power answers no attempt to connect. One that is heard meanwhile is there again.
TEST_F(FrameChannelTest, APeerThatIsHeardIsConnectedToAnew) {
  FullListener full(loop_, endpoint_);
  FrameChannel silent(loop_, endpoint_);
  bool given_up = false;
  bool given_up_when_heard = false;
  silent.request(FrameKind::kControlRequest, "a", seconds(60),
                 [&](const std::optional<std::string>& answer) { given_up = !answer; });
  silent.onPeerHeard();
  EXPECT_FALSE(given_up);  // The attempt has just begun.
  LoopTimer heard(loop_);
  heard.after(milliseconds(60), [&] {
    silent.onPeerHeard();
    given_up_when_heard = given_up;
    loop_.stop();
  });
  loop_.context().restart();
  loop_.run();
  EXPECT_TRUE(given_up_when_heard);
}

TEST(FrameReaderTest, RefusesWhatIsNotAFrame) {
  FrameReader reader;
  std::vector<Frame> frames;
  const std::string whole = encodeFrame({7, FrameKind::kControlReply, "body"});
  for (const char byte : whole) {
    EXPECT_TRUE(reader.feed(std::string_view(&byte, 1),
                            [&](Frame frame) { frames.push_back(std::move(frame)); }));
  }
  ASSERT_EQ(frames.size(), 1U);
  EXPECT_EQ(frames.front().number, 7U);
  EXPECT_EQ(frames.front().body, "body");
  EXPECT_FALSE(reader.feed(std::string(16, '\xff'), [](const Frame&) {}));
}

}  // namespace
}  // namespace ramppond
