// Malformed and endless requests, and answers that are cut off, at the server side of the
// forwarding path's HTTP.
#include "net/stream/http_server.h"

#include <gtest/gtest.h>

#include <cerrno>
#include <ostream>

#include "tests/net/stream/free_endpoint.h"
#include "tests/net/stream/raw_socket.h"

namespace ramppond {
namespace {

constexpr Duration kAnswerDelay = milliseconds(100);

/// Answers a whole request after a moment; begins to answer one to "/part" and never ends it.
class SlowHandler : public ExchangeHandler {
 public:
  SlowHandler(EventLoop& loop, std::weak_ptr<ServerExchange> exchange, int& gone)
      : exchange_(std::move(exchange)), timer_(loop), gone_(gone) {}
  void onRequestBody(std::string_view /*data*/) override {}
  void onRequestEnd() override {
    timer_.after(kAnswerDelay, [this] {
      const auto exchange = exchange_.lock();
      HttpHead head;
      head.status = 200;
      if (exchange->request().target == "/part") {
        exchange->sendHead(head, BodyFraming::kChunked);
        exchange->sendBody("part");
      } else {
        exchange->respond(std::move(head), exchange->request().target);
      }
    });
  }
  void onClientGone() override { gone_ += 1; }

 private:
  std::weak_ptr<ServerExchange> exchange_;
  LoopTimer timer_;
  int& gone_;
};

class HttpServerTest : public testing::Test {
 protected:
  void SetUp() override {
    endpoint_ = freeEndpoint(loop_);
    server_ = std::make_unique<StreamHttpServer>(
        loop_, endpoint_, HttpServerOptions{},
        [this](const std::shared_ptr<ServerExchange>& exchange) {
          begun_ += 1;
          exchange->setHandler(std::make_shared<SlowHandler>(loop_, exchange, gone_));
        });
    ASSERT_EQ(server_->start(), std::nullopt);
  }
  ~HttpServerTest() override {
    for (const int client : clients_) {
      ::close(client);
    }
  }
  int connect(const std::string& bytes) {
    clients_.push_back(connectAndSend(endpoint_, bytes));
    return clients_.back();
  }
  /// Lets the loop turn until `client` has something to read, or its end; false if it has not.
  bool turnUntilReadable(int client) {
    char byte = 0;
    return turnUntil(
        [&] { return ::recv(client, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 || errno != EAGAIN; });
  }
  bool turnUntil(const std::function<bool()>& condition) {
    for (int turn = 0; turn < 400 && !condition(); ++turn) {
      loop_.context().restart();
      loop_.context().run_one_for(milliseconds(10));
    }
    return condition();
  }

  EventLoop loop_;
  Endpoint endpoint_;
  std::unique_ptr<StreamHttpServer> server_;
  std::vector<int> clients_;
  int begun_ = 0;
  int gone_ = 0;  ///< Requests whose client was told to be gone.
};

// Guards against the part of an answer looking whole to a client of HTTP/1.0, which takes the end
// of the connection for the end of the answer.
TEST_F(HttpServerTest, AnswerThatEndsWithItsConnectionIsCutByAReset) {
  const int client = connect("GET /part HTTP/1.0\r\nHost: t\r\n\r\n");
  ASSERT_TRUE(turnUntilReadable(client));
  server_.reset();
  char buffer[4096];
  ssize_t size = 0;
  while ((size = ::recv(client, buffer, sizeof buffer, 0)) > 0) {
  }
  EXPECT_EQ(size, -1);
  EXPECT_EQ(errno, ECONNRESET);
}

TEST_F(HttpServerTest, AnswerToAClientThatSendsNoMoreIsNotCutInOrder) {
  const int client = connect("GET /part HTTP/1.0\r\nHost: t\r\n\r\n");
  ASSERT_TRUE(turnUntilReadable(client));
  ::shutdown(client, SHUT_WR);
  ASSERT_TRUE(turnUntil([this] { return gone_ == 1; }));
  char buffer[4096];
  ssize_t size = 0;
  while ((size = ::recv(client, buffer, sizeof buffer, 0)) > 0) {
  }
  EXPECT_EQ(size, -1);
  EXPECT_EQ(errno, ECONNRESET);
}

}  // namespace
}  // namespace ramppond
