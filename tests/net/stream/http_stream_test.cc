// Server and client side of the forwarding path's HTTP against each other and against raw bytes,
// on one event loop.
#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/stream/http_client.h"
#include "net/stream/http_server.h"
#include "tests/net/stream/free_endpoint.h"
#include "tests/net/stream/raw_socket.h"

namespace ramppond {
namespace {

constexpr Duration kTestLimit = seconds(20);

/// Answers with the request's own id and body.
class EchoHandler : public ExchangeHandler {
 public:
  explicit EchoHandler(std::weak_ptr<ServerExchange> exchange) : exchange_(std::move(exchange)) {}
  void onRequestBody(std::string_view data) override { body_.append(data); }
  void onRequestEnd() override {
    const auto exchange = exchange_.lock();
    HttpHead head;
    head.status = 200;
    head.fields.push_back({"Request-Id", exchange->request().get("Request-Id")});
    exchange->respond(std::move(head), exchange->request().target + ":" + body_);
  }
  void onClientGone() override {}

 private:
  std::weak_ptr<ServerExchange> exchange_;
  std::string body_;
};

class RecordingClient : public ClientHandler {
 public:
  explicit RecordingClient(std::function<void()> ended) : ended_(std::move(ended)) {}
  void onResponseHead(HttpHead head) override { status = head.status; }
  void onResponseBody(std::string_view data) override { body.append(data); }
  void onResponseEnd() override {
    complete = true;
    ended_();
  }
  void onRequestFailed(ClientFailure reason) override {
    failure = reason;
    ended_();
  }
  int status = 0;
  std::string body;
  bool complete = false;
  std::optional<ClientFailure> failure;

 private:
  std::function<void()> ended_;
};

/// A peer that sends fixed bytes, whatever it is sent.
class RawConnection : public TcpConnection {
 public:
  RawConnection(EventLoop& loop, const Endpoint& endpoint, std::string bytes,
                std::function<void(const std::string&)> ended)
      : TcpConnection(loop),
        bytes_(std::move(bytes)),
        ended_(std::move(ended)),
        endpoint_(endpoint) {}
  void open() { connect(endpoint_, seconds(2)); }
  std::string received;

 private:
  void onConnected() override {
    startReading();
    write(bytes_);
  }
  void onData(std::string_view bytes) override { received.append(bytes); }
  void onEnd(ConnectionEnd /*end*/) override {
    abort(false);
    ended_(received);
  }
  std::string bytes_;
  std::function<void(const std::string&)> ended_;
  Endpoint endpoint_;
};

/// In a scripted answer: what follows leaves a moment later.
constexpr char kPause = '\x01';

/// Accepts connections one after the other and answers each request with the next given bytes.
class ScriptedServer {
 public:
  ScriptedServer(EventLoop& loop, const Endpoint& endpoint, std::vector<std::string> answers)
      : loop_(loop), answers_(std::move(answers)), acceptor_(loop.context()) {
    acceptor_.open(boost::asio::ip::tcp::v4());
    acceptor_.set_option(boost::asio::ip::tcp::acceptor::reuse_address(true));
    acceptor_.bind({boost::asio::ip::make_address_v4(endpoint.host), endpoint.port});
    acceptor_.listen();
    accept();
  }
  std::size_t accepted = 0;

 private:
  class Connection : public TcpConnection {
   public:
    Connection(EventLoop& loop, boost::asio::ip::tcp::socket socket, ScriptedServer& server)
        : TcpConnection(loop, std::move(socket)), server_(server), pause_(loop) {}
    void start() { startReading(); }

   private:
    void onData(std::string_view bytes) override {
      input_.append(bytes);
      while (true) {
        const std::size_t end = input_.find("\r\n\r\n");
        if (end == std::string::npos || server_.next_ >= server_.answers_.size()) {
          return;
        }
        input_.erase(0, end + 4);
        const std::string answer = server_.answers_[server_.next_++];
        if (answer.empty()) {
          abort(true);
          return;
        }
        writeParts(answer);
      }
    }
    // Parts are separated by kPause and leave one after the other.
    void writeParts(const std::string& answer) {
      const std::size_t end = answer.find(kPause);
      write(answer.substr(0, end));
      if (end != std::string::npos) {
        pause_.after(milliseconds(20), [this, rest = answer.substr(end + 1)] { writeParts(rest); });
      }
    }
    void onEnd(ConnectionEnd /*end*/) override { abort(false); }
    ScriptedServer& server_;
    LoopTimer pause_;
    std::string input_;
  };
  void accept() {
    acceptor_.async_accept(
        [this](const boost::system::error_code& error, boost::asio::ip::tcp::socket socket) {
          if (error) {
            return;
          }
          accepted += 1;
          std::make_shared<Connection>(loop_, std::move(socket), *this)->start();
          accept();
        });
  }
  EventLoop& loop_;
  std::vector<std::string> answers_;
  std::size_t next_ = 0;
  boost::asio::ip::tcp::acceptor acceptor_;
};

class HttpStreamTest : public testing::Test {
 protected:
  void SetUp() override {
    endpoint_ = freeEndpoint(loop_);
    limit_.after(kTestLimit, [this] {
      timed_out_ = true;
      loop_.stop();
    });
  }
  void startEcho() {
    HttpServerOptions options;
    options.farewell =
        "HTTP/1.1 503 Unavailable\r\nFarewell: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    server_ = std::make_unique<StreamHttpServer>(
        loop_, endpoint_, options, [this](const std::shared_ptr<ServerExchange>& exchange) {
          begun_ += 1;
          exchange->setHandler(std::make_shared<EchoHandler>(exchange));
        });
    ASSERT_EQ(server_->start(), std::nullopt);
  }
  HttpClientPool& pool() {
    if (pool_ == nullptr) {
      HttpClientOptions options;
      options.endpoint = endpoint_;
      options.id_header = "Request-Id";
      options.farewell_header = "Farewell";
      pool_ = std::make_unique<HttpClientPool>(loop_, options);
    }
    return *pool_;
  }
  std::shared_ptr<RecordingClient> send(const std::string& id, const std::string& body) {
    const auto client = std::make_shared<RecordingClient>([this] {
      ended_ += 1;
      if (ended_ >= awaited_) {
        loop_.stop();
      }
    });
    HttpHead head;
    head.method = body.empty() ? "GET" : "POST";
    head.target = "/" + id;
    head.fields = {{"Host", "test"}, {"Request-Id", id}};
    if (!body.empty()) {
      head.content_length = body.size();
    }
    exchanges_.push_back(pool().start(
        head, body.empty() ? BodyFraming::kNone : BodyFraming::kLength, body, true, client));
    return client;
  }
  /// Sends raw bytes to the echo server; gives all that came back until it closed.
  std::string sendRaw(const std::string& bytes) {
    std::string answer;
    const auto raw =
        std::make_shared<RawConnection>(loop_, endpoint_, bytes, [&](const std::string& received) {
          answer = received;
          loop_.stop();
        });
    raw->open();
    run();
    return answer;
  }
  void run(std::size_t awaited = 1) {
    awaited_ = awaited;
    ended_ = 0;
    loop_.context().restart();
    loop_.run();
    ASSERT_FALSE(timed_out_);
  }

  EventLoop loop_;
  LoopTimer limit_{loop_};
  bool timed_out_ = false;
  Endpoint endpoint_;
  std::unique_ptr<StreamHttpServer> server_;
  std::unique_ptr<HttpClientPool> pool_;
  std::vector<std::shared_ptr<ClientExchange>> exchanges_;
  /// Lets the loop turn until all that is under way on loopback has arrived.
  void settle() {
    for (int turn = 0; turn < 10; ++turn) {
      loop_.context().restart();
      loop_.context().run_one_for(milliseconds(5));
    }
  }
  /// Lets the loop turn until `condition` holds; false if it does not in good time.
  bool turnUntil(const std::function<bool()>& condition) {
    for (int turn = 0; turn < 400 && !condition(); ++turn) {
      loop_.context().restart();
      loop_.context().run_one_for(milliseconds(10));
    }
    return condition();
  }

  std::size_t ended_ = 0;
  std::size_t awaited_ = 1;
  std::size_t begun_ = 0;  ///< Requests that the echo server was given.
};

TEST_F(HttpStreamTest, WholeAnswerComesBackAndTheConnectionIsKept) {
  startEcho();
  const auto first = send("a", "");
  run();
  const auto second = send("b", "some body");
  run();
  EXPECT_TRUE(first->complete);
  EXPECT_EQ(first->body, "/a:");
  EXPECT_TRUE(second->complete);
  EXPECT_EQ(second->body, "/b:some body");
  EXPECT_EQ(pool().counters().connections_opened, 1U);
}

// Guards against a value that adds a field of its own to the head.
TEST(HttpHead, ValueOfAFieldCannotEndItsLine) {
  HttpHead head;
  head.method = "GET";
  head.target = "/";
  head.fields.push_back({"Tenant", std::string("a\r\nForged: 1\0", 13)});
  EXPECT_EQ(requestHeadBytes(head, BodyFraming::kNone),
            "GET / HTTP/1.1\r\nTenant: a  Forged: 1 \r\n\r\n");
}

TEST_F(HttpStreamTest, LargeBodiesPassBothWays) {
  startEcho();
  const std::string body(3000000, 'x');
  const auto client = send("large", body);
  run();
  EXPECT_TRUE(client->complete);
  EXPECT_EQ(client->body.size(), body.size() + 7);
}

// Guards against the text of one answer in the body of another, whose end would look complete.
TEST_F(HttpStreamTest, SecondAnswerToARequestBreaksOffTheFirst) {
  server_ = std::make_unique<StreamHttpServer>(
      loop_, endpoint_, HttpServerOptions{}, [](const std::shared_ptr<ServerExchange>& exchange) {
        HttpHead head;
        head.status = 200;
        head.fields.push_back({"Request-Id", exchange->request().get("Request-Id")});
        exchange->sendHead(head, BodyFraming::kChunked);
        exchange->sendBody("first part");
        exchange->respond(head, "second answer");
      });
  ASSERT_EQ(server_->start(), std::nullopt);
  const auto client = send("a", "");
  run();
  EXPECT_FALSE(client->complete);
  EXPECT_EQ(client->body.find("second answer"), std::string::npos);
}

TEST_F(HttpStreamTest, PipelinedRequestsAreAnsweredInOrder) {
  startEcho();
  const std::string answer = sendRaw(
      "GET /1 HTTP/1.1\r\nHost: t\r\n\r\nGET /2 HTTP/1.1\r\nHost: t\r\n\r\n"
      "GET /3 HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n");
  const std::size_t one = answer.find("/1:");
  const std::size_t two = answer.find("/2:");
  const std::size_t three = answer.find("/3:");
  ASSERT_NE(three, std::string::npos);
  EXPECT_LT(one, two);
  EXPECT_LT(two, three);
}

TEST_F(HttpStreamTest, ChunkedRequestBodyIsRead) {
  startEcho();
  const std::string answer = sendRaw(
      "POST /c HTTP/1.1\r\nHost: t\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  EXPECT_NE(answer.find("/c:abcde"), std::string::npos);
}

TEST_F(HttpStreamTest, BadRequestsAreRefusedAndTheConnectionEnds) {
  startEcho();
  const std::vector<std::string> bad = {
      "nonsense\r\n\r\n",
      "GET / HTTP/1.1\r\nHost: t\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
      "POST / HTTP/1.1\r\nHost: t\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
      "POST / HTTP/1.1\r\nHost: t\r\nContent-Length: -3\r\n\r\nabc",
      "POST / HTTP/1.1\r\nHost: t\r\nContent-Length: abc\r\n\r\nabc",
      "GET / HTTP/1.1\r\nHost t\r\n\r\n",
      "GET / HTTP/9.9\r\nHost: t\r\n\r\n",
  };
  for (const std::string& bytes : bad) {
    EXPECT_EQ(sendRaw(bytes).substr(0, 12), "HTTP/1.1 400") << bytes;
  }
  const std::string large = "GET / HTTP/1.1\r\nHost: t\r\nX: " + std::string(20000, 'x');
  EXPECT_EQ(sendRaw(large + "\r\n\r\n").substr(0, 12), "HTTP/1.1 431");
}

TEST_F(HttpStreamTest, RefusedConnectionIsToldAsRefused) {
  const auto client = send("a", "");
  run();
  EXPECT_EQ(client->failure, ClientFailure::kRefused);
}

TEST_F(HttpStreamTest, AProcessWithoutSocketsDoesNotBlameThePeer) {
  startEcho();
  loop_.sockets().limit({1});
  loop_.sockets().on_opened();  // Something else holds the only socket.
  const auto client = send("a", "");
  run();
  EXPECT_EQ(client->failure, ClientFailure::kNoSocket);
}

TEST_F(HttpStreamTest, IdleConnectionsAreGivenUpWhenSocketsAreScarce) {
  startEcho();
  const auto first = send("a", "");
  run();
  EXPECT_TRUE(first->complete);
  EXPECT_EQ(pool().idle(), 1U);
  EXPECT_EQ(pool().established(), 1U);
  loop_.sockets().limit({8});  // Both ends of the one connection are in this process.
  for (int others = 0; others < 3; ++others) {
    loop_.sockets().on_opened();
  }
  pool().sweep();
  EXPECT_EQ(pool().idle(), 0U);
  const auto second = send("b", "");
  run();
  EXPECT_TRUE(second->complete);
  EXPECT_EQ(pool().idle(), 0U);
  EXPECT_EQ(pool().established(), 0U);
}

TEST_F(HttpStreamTest, SurplusAnswerIsPassedOverAndItsConnectionNotUsedAgain) {
  const std::string surplus = "HTTP/1.1 200 OK\r\nRequest-Id: old\r\nContent-Length: 3\r\n\r\nold";
  const std::string own = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 3\r\n\r\nown";
  const std::string other = "HTTP/1.1 200 OK\r\nRequest-Id: b\r\nContent-Length: 1\r\n\r\nb";
  ScriptedServer scripted(loop_, endpoint_, {surplus + own, other});
  const auto first = send("a", "");
  run();
  EXPECT_TRUE(first->complete);
  EXPECT_EQ(first->body, "own");
  const auto second = send("b", "");
  run();
  EXPECT_EQ(second->body, "b");
  EXPECT_EQ(scripted.accepted, 2U);
}

TEST_F(HttpStreamTest, OtherAnswersThatComeAloneDoNotEndTheRequest) {
  const std::string own = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 3\r\n\r\nown";
  const std::vector<std::string> others = {
      "HTTP/1.1 102 Processing\r\n\r\n",
      "HTTP/1.1 200 OK\r\nRequest-Id: old\r\nContent-Length: 3\r\n\r\nold",
  };
  for (const std::string& other : others) {
    endpoint_ = freeEndpoint(loop_);
    pool_.reset();
    ScriptedServer scripted(loop_, endpoint_, {other + kPause + own});
    const auto client = send("a", "");
    run();
    EXPECT_TRUE(client->complete) << other;
    EXPECT_EQ(client->body, "own") << other;
  }
}

TEST_F(HttpStreamTest, BytesBehindAnAnswerEndItsConnection) {
  const std::string own = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 3\r\n\r\nown";
  const std::string other = "HTTP/1.1 200 OK\r\nRequest-Id: b\r\nContent-Length: 1\r\n\r\nb";
  ScriptedServer scripted(loop_, endpoint_, {own + "more", other});
  const auto first = send("a", "");
  run();
  EXPECT_EQ(first->body, "own");
  const auto second = send("b", "");
  run();
  EXPECT_EQ(second->body, "b");
  EXPECT_EQ(scripted.accepted, 2U);
}

TEST_F(HttpStreamTest, AnswerWithoutTheIdIsInvalid) {
  ScriptedServer scripted(loop_, endpoint_, {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"});
  const auto client = send("a", "");
  run();
  EXPECT_EQ(client->failure, ClientFailure::kInvalidAnswer);
}

TEST_F(HttpStreamTest, ResetInsideAnAnswerIsNeverComplete) {
  const std::string start = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 9\r\n\r\nabc";
  ScriptedServer scripted(loop_, endpoint_, {start, ""});
  const auto client = send("a", "");
  // The second request head makes the scripted server reset the connection.
  loop_.post([this] { exchanges_.front()->sendBody("X\r\n\r\n"); });
  LoopTimer later(loop_);
  later.after(milliseconds(50), [this] {
    exchanges_.front()->cancel();
    loop_.stop();
  });
  run();
  EXPECT_FALSE(client->complete);
}

TEST_F(HttpStreamTest, AClosingServerAnswersWhatHasArrivedAndRefusesNewConnections) {
  startEcho();
  server_->drain();
  const int client = connectAndSend(endpoint_, "GET /arrived HTTP/1.1\r\nHost: t\r\n\r\n");
  server_->close();
  EXPECT_EQ(begun_, 1U);
  EXPECT_TRUE(turnUntil([this] { return server_->underWay() == 0; }));
  EXPECT_EQ(server_->connections(), 1U);  // Until the client has read its answer.
  const auto late = send("late", "");
  run();
  EXPECT_EQ(late->failure, ClientFailure::kRefused);
  EXPECT_NE(readToEnd(client).find("/arrived:"), std::string::npos);
  EXPECT_TRUE(turnUntil([this] { return server_->connections() == 0; }));
}

TEST_F(HttpStreamTest, ARequestThatCrossesTheCloseIsProvablyNotRead) {
  startEcho();
  const auto first = send("a", "");
  run();
  ASSERT_EQ(pool().idle(), 1U);
  server_->close();
  const auto crossing = send("b", "body");  // The farewell is under way, and not seen yet.
  run();
  EXPECT_EQ(crossing->status, 503);
  EXPECT_TRUE(crossing->complete);
  EXPECT_EQ(begun_, 1U);
  EXPECT_EQ(pool().idle(), 0U);
}

TEST_F(HttpStreamTest, AFarewellFromAPeerThatMayNotSayItIsNoAnswer) {
  const std::string farewell = "HTTP/1.1 503 x\r\nOther: 1\r\nContent-Length: 0\r\n\r\n";
  ScriptedServer scripted(loop_, endpoint_, {farewell});
  const auto client = send("a", "");
  run();
  EXPECT_EQ(client->failure, ClientFailure::kInvalidAnswer);
}

TEST_F(HttpStreamTest, AClosedServerWaitsForARequestThatIsBeingSent) {
  startEcho();
  const int client = connectAndSend(endpoint_, "POST /p HTTP/1.1\r\nHost: t\r\nContent-Le");
  EXPECT_TRUE(turnUntil([this] { return server_->connections() == 1; }));
  settle();
  server_->drain();
  server_->close();
  EXPECT_EQ(server_->connections(), 1U);
  const std::string rest = "ngth: 2\r\n\r\nxy";
  EXPECT_EQ(::send(client, rest.data(), rest.size(), 0), static_cast<ssize_t>(rest.size()));
  EXPECT_TRUE(turnUntil([this] { return begun_ == 1 && server_->underWay() == 0; }));
  settle();
  EXPECT_NE(readToEnd(client).find("/p:xy"), std::string::npos);
}

TEST_F(HttpStreamTest, DrainingServerEndsConnectionsByAnAnswer) {
  startEcho();
  server_->drain();
  const auto client = send("a", "");
  run();
  EXPECT_TRUE(client->complete);
  EXPECT_EQ(pool().idle(), 0U);
}

}  // namespace
}  // namespace ramppond
