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
  /// Sends as much of `bytes` as the server takes and returns what it answered until its end.
  std::string exchangeAll(std::string bytes) {
    const int client = connect("");
    std::string received;
    char buffer[4096];
    ssize_t size = -1;
    EXPECT_TRUE(turnUntil([&] {
      const ssize_t sent = ::send(client, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      bytes.erase(0, sent > 0 ? static_cast<std::size_t>(sent) : 0);
      while ((size = ::recv(client, buffer, sizeof buffer, MSG_DONTWAIT)) > 0) {
        received.append(buffer, static_cast<std::size_t>(size));
      }
      return size == 0 || errno != EAGAIN;
    })) << "the connection stays open";
    return received;
  }

  EventLoop loop_;
  Endpoint endpoint_;
  std::unique_ptr<StreamHttpServer> server_;
  std::vector<int> clients_;
  int begun_ = 0;
  int gone_ = 0;  ///< Requests whose client was told to be gone.
};

struct EndlessRequest {
  const char* name;
  std::string start;
  std::string repeat;
  const char* status;
};

void PrintTo(const EndlessRequest& request, std::ostream* out) {
  *out << request.name;
}

class EndlessRequestTest : public HttpServerTest,
                           public testing::WithParamInterface<EndlessRequest> {
 protected:
  static std::string endless() {
    constexpr std::size_t kBytes = 400000;
    std::string bytes = GetParam().start;
    while (bytes.size() < kBytes) {
      bytes += GetParam().repeat;
    }
    return bytes;
  }
};

// Guards against a connection that stays, with what was sent on it, for bytes that cannot become a
// request.
TEST_P(EndlessRequestTest, IsRefused) {
  EXPECT_EQ(exchangeAll(endless()).substr(0, 12), GetParam().status);
  EXPECT_EQ(server_->underWay(), 0U);
  EXPECT_EQ(gone_, begun_);
}

// Guards against the loss of sound requests' answers that are due before on the same connection.
TEST_P(EndlessRequestTest, DoesNotDropTheAnswersBeforeIt) {
  const std::string received = exchangeAll(
      "GET /1 HTTP/1.1\r\nHost: t\r\n\r\nGET /2 HTTP/1.1\r\nHost: t\r\n\r\n" + endless());
  const std::size_t one = received.find("/1");
  const std::size_t two = received.find("/2");
  const std::size_t refusal = received.find(GetParam().status);
  ASSERT_NE(refusal, std::string::npos) << received;
  EXPECT_LT(one, two);
  EXPECT_LT(two, refusal);
}

const std::string kRequestLine = "GET /endless HTTP/1.1\r\n";
const std::string kChunkedRequest = kRequestLine + "Host: t\r\nTransfer-Encoding: chunked\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    Parts, EndlessRequestTest,
    testing::Values(
        EndlessRequest{"FirstLine", "GET /", "x", "HTTP/1.1 431"},
        EndlessRequest{"Field", kRequestLine + "X: ", "x", "HTTP/1.1 431"},
        EndlessRequest{"Fields", kRequestLine, "X: y\r\n", "HTTP/1.1 431"},
        EndlessRequest{"ChunkSize", kChunkedRequest, "0", "HTTP/1.1 400"},
        EndlessRequest{"ChunkExtension", kChunkedRequest + "1;a=", "x", "HTTP/1.1 400"},
        EndlessRequest{"TrailerField", kChunkedRequest + "0\r\nX: ", "x", "HTTP/1.1 400"},
        EndlessRequest{"Trailer", kChunkedRequest + "0\r\n", "X: y\r\n", "HTTP/1.1 400"}),
    [](const auto& info) { return std::string(info.param.name); });

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
