// Answers of servers that break off, stop in their head or never end, as the client side of the
// forwarding path's HTTP takes them.
#include "net/stream/http_client.h"

#include <gtest/gtest.h>

#include <ostream>
#include <thread>

#include "tests/net/raw_server.h"

namespace ramppond {
namespace {

constexpr Duration kTestLimit = seconds(20);
// More than the buffers of two sockets hold, so that the client still writes when the answer ends.
constexpr std::size_t kUploadBytes = 24U << 20U;
constexpr std::size_t kHalfAnswerBytes = 20000;
constexpr Duration kShortUserTimeout = milliseconds(400);

class RecordingClient : public ClientHandler {
 public:
  explicit RecordingClient(EventLoop& loop) : loop_(loop) {}
  void onResponseHead(HttpHead head) override { status = head.status; }
  void onResponseBody(std::string_view data) override {
    body.append(data);
    if (pauses_at_body) {
      pauses_at_body = false;
      exchange->pauseResponse();
      resume_.after(milliseconds(500), [this] { exchange->resumeResponse(); });
    }
  }
  void onResponseEnd() override {
    complete = true;
    loop_.stop();
  }
  void onRequestFailed(ClientFailure reason) override {
    failure = reason;
    loop_.stop();
  }
  std::shared_ptr<ClientExchange> exchange;
  bool pauses_at_body = false;  ///< Pauses once, as for a client that reads slowly.
  int status = 0;
  std::string body;
  bool complete = false;
  std::optional<ClientFailure> failure;

 private:
  EventLoop& loop_;
  LoopTimer resume_{loop_};
};

class HttpClientTest : public testing::Test {
 protected:
  void SetUp() override {
    limit_.after(kTestLimit, [this] {
      timed_out_ = true;
      loop_.stop();
    });
  }
  void startServer(const RawServer::Serve& serve) {
    server_ = std::make_unique<RawServer>("127.0.0.1", 0, serve);
    ASSERT_TRUE(server_->listening());
    HttpClientOptions options;
    options.endpoint = {"127.0.0.1", server_->port()};
    options.id_header = "Request-Id";
    options.user_timeout = user_timeout_;
    pool_ = std::make_unique<HttpClientPool>(loop_, options);
  }
  /// Sends a request with id "a" and waits for its end.
  std::shared_ptr<RecordingClient> send(std::size_t body_bytes, bool pauses_at_body = false) {
    const auto client = std::make_shared<RecordingClient>(loop_);
    client->pauses_at_body = pauses_at_body;
    HttpHead head;
    head.method = body_bytes == 0 ? "GET" : "POST";
    head.target = "/";
    head.fields = {{"Host", "test"}, {"Request-Id", "a"}};
    head.content_length = body_bytes;
    const BodyFraming framing = body_bytes == 0 ? BodyFraming::kNone : BodyFraming::kLength;
    client->exchange = pool_->start(head, framing, std::string(body_bytes, 'u'), true, client);
    loop_.context().restart();
    loop_.run();
    EXPECT_FALSE(timed_out_);
    client->exchange->cancel();
    return client;
  }

  EventLoop loop_;
  LoopTimer limit_{loop_};
  bool timed_out_ = false;
  Duration user_timeout_ = seconds(4);
  std::unique_ptr<RawServer> server_;
  std::unique_ptr<HttpClientPool> pool_;
};

const std::string kHead = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n";
const std::string kHalf(kHalfAnswerBytes, 'x');

std::string lengthField(std::size_t bytes) {
  return "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

/// How an answer ends that the server gives while the client still writes its request.
enum class AnswerEnd : std::uint8_t {
  kCloseWithUnreadBytes,    ///< The system resets the connection.
  kReset,                   ///< As after a crash.
  kResetAtOnce,             ///< Together with the last bytes.
  kOrderlyThenReset,        ///< The end of the answer is sent; then the server stops reading.
  kNeverReadsOn,            ///< Nothing more comes and nothing is read.
  kOrderlyThenNeverReadsOn  ///< The end of the answer is sent, and nothing is read.
};

struct EarlyAnswer {
  const char* name;
  std::string bytes;
  AnswerEnd end;
  bool complete;
};

void PrintTo(const EarlyAnswer& answer, std::ostream* out) {
  *out << answer.name;
}

void endAnswer(RawServerConnection& connection, AnswerEnd end) {
  constexpr int kArrivalMs = 100;      // Until the client has read the answer and writes on.
  constexpr int kNeverReadsMs = 2000;  // Beyond the client's time-out.
  if (end == AnswerEnd::kOrderlyThenReset || end == AnswerEnd::kOrderlyThenNeverReadsOn) {
    connection.finishSending();
  }
  const bool waits = end == AnswerEnd::kNeverReadsOn || end == AnswerEnd::kOrderlyThenNeverReadsOn;
  if (end != AnswerEnd::kResetAtOnce) {
    connection.pause(waits ? kNeverReadsMs : kArrivalMs);
  }
  if (end == AnswerEnd::kReset || end == AnswerEnd::kResetAtOnce ||
      end == AnswerEnd::kOrderlyThenReset) {
    connection.resetOnClose();
  }
}

class EarlyAnswerTest : public HttpClientTest, public testing::WithParamInterface<EarlyAnswer> {
 protected:
  void SetUp() override {
    HttpClientTest::SetUp();
    user_timeout_ = kShortUserTimeout;
    startServer([](RawServerConnection& connection) {
      connection.readHead();
      connection.send(GetParam().bytes);
      endAnswer(connection, GetParam().end);
    });
  }
};

// Guards against an answer without a length that is cut off while the request is being written: the
// write takes the error from the connection, whose end then looks like the end of the answer. The
// rows that are complete guard against taking every failed write for such a cut.
TEST_P(EarlyAnswerTest, IsCompleteOnlyIfTheServerSentItsEnd) {
  const auto client = send(kUploadBytes);
  EXPECT_EQ(client->status, 200);
  EXPECT_EQ(client->complete, GetParam().complete);
  if (!GetParam().complete) {
    EXPECT_EQ(client->failure, ClientFailure::kBrokenAnswer);
  }
}

// The same while the client of the answer reads slowly, so that the end is found late.
TEST_P(EarlyAnswerTest, IsCompleteOnlyIfTheServerSentItsEndWhenReadLate) {
  const auto client = send(kUploadBytes, true);
  EXPECT_EQ(client->complete, GetParam().complete);
}

INSTANTIATE_TEST_SUITE_P(
    Answers, EarlyAnswerTest,
    testing::Values(
        EarlyAnswer{"WithoutLengthReset", kHead + "\r\n" + kHalf, AnswerEnd::kReset, false},
        EarlyAnswer{"WithoutLengthResetAtOnce", kHead + "\r\n" + kHalf, AnswerEnd::kResetAtOnce,
                    false},
        EarlyAnswer{"LengthWholeResetAtOnce", kHead + lengthField(kHalfAnswerBytes) + kHalf,
                    AnswerEnd::kResetAtOnce, true},
        EarlyAnswer{"WithoutLengthUnreadBytes", kHead + "\r\n" + kHalf,
                    AnswerEnd::kCloseWithUnreadBytes, false},
        EarlyAnswer{"WithoutLengthTimedOut", kHead + "\r\n" + kHalf, AnswerEnd::kNeverReadsOn,
                    false},
        EarlyAnswer{"LengthCutByReset", kHead + lengthField(2 * kHalfAnswerBytes) + kHalf,
                    AnswerEnd::kReset, false},
        EarlyAnswer{"ChunksCutByReset",
                    kHead + "Transfer-Encoding: chunked\r\n\r\n" + chunkBytes(kHalf),
                    AnswerEnd::kReset, false},
        EarlyAnswer{"WithoutLengthWhole", kHead + "Connection: close\r\n\r\n" + kHalf,
                    AnswerEnd::kOrderlyThenReset, true},
        EarlyAnswer{"LengthWholeThenReset", kHead + lengthField(kHalfAnswerBytes) + kHalf,
                    AnswerEnd::kReset, true},
        EarlyAnswer{"LengthWholeThenUnreadBytes", kHead + lengthField(kHalfAnswerBytes) + kHalf,
                    AnswerEnd::kCloseWithUnreadBytes, true},
        EarlyAnswer{"ChunksWholeThenReset",
                    kHead + "Transfer-Encoding: chunked\r\n\r\n" + chunkBytes(kHalf) +
                        std::string(kLastChunk),
                    AnswerEnd::kReset, true}),
    [](const auto& info) { return std::string(info.param.name); });

// An end that is read before the write times out is the answer's end.
TEST_F(HttpClientTest, AnswerThatEndsBeforeTheWriteTimesOutIsComplete) {
  user_timeout_ = kShortUserTimeout;
  startServer([](RawServerConnection& connection) {
    connection.readHead();
    connection.send(kHead + "Connection: close\r\n\r\n" + kHalf);
    endAnswer(connection, AnswerEnd::kOrderlyThenNeverReadsOn);
  });
  EXPECT_TRUE(send(kUploadBytes)->complete);
}

// Guards against a request that is lost on a connection over which nothing can be sent any more.
TEST_F(HttpClientTest, ConnectionWhoseWriteFailedIsNotUsedAgain) {
  startServer([](RawServerConnection& connection) {
    connection.readHead();
    connection.send(kHead + lengthField(kHalfAnswerBytes) + kHalf.substr(1));
    connection.pause(100);
    connection.send(kHalf.substr(0, 1));
    connection.resetOnClose();
  });
  EXPECT_TRUE(send(kUploadBytes, true)->complete);
  EXPECT_EQ(pool_->idle(), 0U);
}

/// What comes on a connection that rests after an answer.
struct AfterAnswer {
  const char* name;
  std::string bytes;
  bool closes;
  bool resets;
};

void PrintTo(const AfterAnswer& after, std::ostream* out) {
  *out << after.name;
}

class RestingConnectionTest : public HttpClientTest,
                              public testing::WithParamInterface<AfterAnswer> {
 protected:
  void TearDown() override {
    may_go_on_ = true;
    server_.reset();  // Its threads use the members of this class.
  }
  std::atomic<bool> may_go_on_{false};
  std::atomic<bool> has_gone_on_{false};
};

// Guards against a request that is sent on a connection which the peer has already ended or
// spoiled, and then counts as one that may have run.
TEST_P(RestingConnectionTest, CarriesNoRequestOnceAnythingHasArrived) {
  startServer([this](RawServerConnection& connection) {
    connection.readHead();
    connection.send(kHead + lengthField(3) + "own");
    while (!may_go_on_) {
      connection.pause(1);
    }
    connection.send(GetParam().bytes);
    if (GetParam().resets) {
      connection.reset();
    } else if (GetParam().closes) {
      connection.finishSending();
    }
    has_gone_on_ = true;
    connection.readToEnd();
  });
  ASSERT_TRUE(send(0)->complete);
  ASSERT_EQ(pool_->idle(), 1U);
  may_go_on_ = true;
  while (!has_gone_on_) {
    std::this_thread::yield();
  }
  EXPECT_TRUE(send(0)->complete);
  EXPECT_EQ(server_->accepted(), 2);
}

INSTANTIATE_TEST_SUITE_P(Events, RestingConnectionTest,
                         testing::Values(AfterAnswer{"Bytes", "x", false, false},
                                         AfterAnswer{"Closed", "", true, false},
                                         AfterAnswer{"BytesAndClosed", "x", true, false},
                                         AfterAnswer{"Reset", "", false, true}),
                         [](const auto& info) { return std::string(info.param.name); });

TEST_F(HttpClientTest, RestingConnectionOnWhichNothingHasArrivedIsUsedAgain) {
  startServer([](RawServerConnection& connection) {
    while (!connection.readHead().empty()) {
      connection.send(kHead + lengthField(3) + "own");
    }
  });
  EXPECT_TRUE(send(0)->complete);
  EXPECT_TRUE(send(0)->complete);
  EXPECT_EQ(server_->accepted(), 1);
}

struct Cut {
  const char* name;
  std::string bytes;
};

void PrintTo(const Cut& cut, std::ostream* out) {
  *out << cut.name;
}

class CutAnswerTest : public HttpClientTest, public testing::WithParamInterface<Cut> {
 protected:
  void expectNoAnswer(bool resets, std::size_t body_bytes) {
    startServer([resets](RawServerConnection& connection) {
      connection.readHead();
      connection.stopAfter(GetParam().bytes, resets);
    });
    const auto client = send(body_bytes);
    EXPECT_EQ(client->failure, ClientFailure::kNoAnswer);
    EXPECT_EQ(client->status, 0);
  }
};

// Guards against the part of a head that came being passed on as a whole answer.
TEST_P(CutAnswerTest, ClosedInItsHeadIsNoAnswer) {
  expectNoAnswer(false, 0);
}

TEST_P(CutAnswerTest, ResetInItsHeadIsNoAnswer) {
  expectNoAnswer(true, 0);
}

TEST_P(CutAnswerTest, ClosedInItsHeadDuringAnUploadIsNoAnswer) {
  expectNoAnswer(false, kUploadBytes);
}

TEST_P(CutAnswerTest, ResetInItsHeadDuringAnUploadIsNoAnswer) {
  expectNoAnswer(true, kUploadBytes);
}

INSTANTIATE_TEST_SUITE_P(
    Cuts, CutAnswerTest,
    testing::Values(Cut{"AfterTheFirstLine", "HTTP/1.1 200 OK\r\n"}, Cut{"BetweenFields", kHead},
                    Cut{"InAField", kHead + "Content-Le"},
                    Cut{"InAValue", kHead + "Content-Length: 1"},
                    Cut{"BeforeTheLastLineFeed", kHead + "Content-Length: 10\r\n\r"},
                    Cut{"AfterAnInterimAnswer", "HTTP/1.1 102 Processing\r\n\r\n"},
                    Cut{"InTheHeadAfterAnInterimAnswer", "HTTP/1.1 102 Processing\r\n\r\n" + kHead},
                    Cut{"InTheHeadAfterAnotherAnswer",
                        "HTTP/1.1 200 OK\r\nRequest-Id: b\r\nContent-Length: 1\r\n\r\nx" + kHead}),
    [](const auto& info) { return std::string(info.param.name); });

struct Endless {
  const char* name;
  std::string start;
  std::string repeat;
  ClientFailure failure;
};

void PrintTo(const Endless& endless, std::ostream* out) {
  *out << endless.name;
}

class EndlessAnswerTest : public HttpClientTest, public testing::WithParamInterface<Endless> {};

// Guards against a request that waits until its deadline, and memory that grows until then, for
// bytes that cannot become its answer.
TEST_P(EndlessAnswerTest, IsGivenUpOnceNoAnswerCanCome) {
  constexpr std::size_t kBlockBytes = 4096;
  constexpr std::size_t kSentLimit = 64U << 20U;
  std::atomic<std::size_t> sent{0};
  startServer([&sent](RawServerConnection& connection) {
    connection.readHead();
    connection.send(GetParam().start);
    connection.sendForever(repeated(GetParam().repeat, kBlockBytes), kSentLimit);
    sent = connection.sent();
  });
  const auto client = send(0);
  EXPECT_EQ(client->failure, GetParam().failure);
  server_.reset();
  EXPECT_LT(sent, kSentLimit);
}

const std::string kChunkedHead = kHead + "Transfer-Encoding: chunked\r\n\r\n";
const std::string kOtherHead = "HTTP/1.1 200 OK\r\nRequest-Id: b\r\n";

INSTANTIATE_TEST_SUITE_P(
    Parts, EndlessAnswerTest,
    testing::Values(
        Endless{"NoHttp", "", "\xff\x01", ClientFailure::kInvalidAnswer},
        Endless{"FirstLine", "HTTP/1.1 200 ", "x", ClientFailure::kInvalidAnswer},
        Endless{"Field", kHead + "X: ", "x", ClientFailure::kInvalidAnswer},
        Endless{"Fields", kHead, "X: y\r\n", ClientFailure::kInvalidAnswer},
        Endless{"InterimAnswers", "", "HTTP/1.1 102 Processing\r\n\r\n",
                ClientFailure::kInvalidAnswer},
        Endless{"OtherAnswersLength", kOtherHead + "Content-Length: 999999999999\r\n\r\n", "x",
                ClientFailure::kInvalidAnswer},
        Endless{"OtherAnswersChunks", kOtherHead + "Transfer-Encoding: chunked\r\n\r\n",
                "4\r\nabcd\r\n", ClientFailure::kInvalidAnswer},
        Endless{"OtherAnswers", "", kOtherHead + "Content-Length: 1\r\n\r\nx",
                ClientFailure::kInvalidAnswer},
        Endless{"OtherAnswerWithoutLength", kOtherHead + "\r\n", "x",
                ClientFailure::kInvalidAnswer},
        Endless{"ChunkSize", kChunkedHead, "0", ClientFailure::kBrokenAnswer},
        Endless{"ChunkExtension", kChunkedHead + "1;a=", "x", ClientFailure::kBrokenAnswer},
        Endless{"Trailer", kChunkedHead + "0\r\n", "X: y\r\n", ClientFailure::kBrokenAnswer}),
    [](const auto& info) { return std::string(info.param.name); });

// A late answer of ordinary size before the own one is passed over as before.
TEST_F(HttpClientTest, LargeAnswerToAnotherRequestIsPassedOver) {
  constexpr std::size_t kOtherBytes = 2U << 20U;
  startServer([](RawServerConnection& connection) {
    connection.readHead();
    connection.send(kOtherHead + lengthField(kOtherBytes) + std::string(kOtherBytes, 'x'));
    connection.send(kHead + lengthField(3) + "own");
    connection.readToEnd();
  });
  const auto client = send(0);
  EXPECT_TRUE(client->complete);
  EXPECT_EQ(client->body, "own");
}

}  // namespace
}  // namespace ramppond
