// Answers that break off, stop in their head or never end, as the call port's HTTP client takes
// them.
#include "net/http_client.h"

#include <gtest/gtest.h>

#include <ostream>

#include "tests/net/raw_server.h"

namespace ramppond {
namespace {

constexpr Duration kTimeout = seconds(10);
constexpr std::size_t kUploadBytes = 24U << 20U;
constexpr std::size_t kMaximumBodyBytes = 1U << 20U;

HttpClientResult sendTo(const RawServer& server, std::size_t body_bytes) {
  HttpClientOptions options;
  options.maximum_body_bytes = kMaximumBodyBytes;
  HttpClient client(options);
  HttpClientRequest request;
  request.method = body_bytes == 0 ? "GET" : "POST";
  request.url = "http://127.0.0.1:" + std::to_string(server.port()) + "/";
  request.body = std::string(body_bytes, 'u');
  request.timeout = kTimeout;
  request.fresh_connection = true;
  return sendAndWait(client, std::move(request));
}

const std::string kHead = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";
const std::string kChunkedHead = kHead + "Transfer-Encoding: chunked\r\n\r\n";

struct BrokenAnswer {
  const char* name;
  std::string bytes;
  bool complete_if_closed;  ///< In order; after a reset only an answer with a length is.
  bool complete_if_reset;
};

void PrintTo(const BrokenAnswer& answer, std::ostream* out) {
  *out << answer.name;
}

class CallPortAnswerTest : public testing::TestWithParam<BrokenAnswer> {
 protected:
  static HttpClientResult answerTo(std::size_t body_bytes, bool resets) {
    RawServer server("127.0.0.1", 0, [resets](RawServerConnection& connection) {
      connection.readHead();
      connection.stopAfter(GetParam().bytes, resets);
    });
    return sendTo(server, body_bytes);
  }
};

// Guards against the part of an answer that came being taken for a whole one with status 200.
TEST_P(CallPortAnswerTest, ClosedInOrder) {
  EXPECT_EQ(answerTo(0, false).complete, GetParam().complete_if_closed);
}

TEST_P(CallPortAnswerTest, Reset) {
  EXPECT_EQ(answerTo(0, true).complete, GetParam().complete_if_reset);
}

TEST_P(CallPortAnswerTest, ClosedInOrderDuringAnUpload) {
  EXPECT_EQ(answerTo(kUploadBytes, false).complete, GetParam().complete_if_closed);
}

TEST_P(CallPortAnswerTest, ResetDuringAnUpload) {
  const HttpClientResult result = answerTo(kUploadBytes, true);
  EXPECT_FALSE(result.complete && !GetParam().complete_if_reset);
}

INSTANTIATE_TEST_SUITE_P(
    Answers, CallPortAnswerTest,
    testing::Values(
        BrokenAnswer{"Nothing", "", false, false},
        BrokenAnswer{"InTheFirstLine", "HTTP/1.1 20", false, false},
        BrokenAnswer{"AfterTheFirstLine", "HTTP/1.1 200 OK\r\n", false, false},
        BrokenAnswer{"BetweenFields", kHead, false, false},
        BrokenAnswer{"InAField", kHead + "Content-Le", false, false},
        BrokenAnswer{"InAValue", kHead + "Content-Length: 1", false, false},
        BrokenAnswer{"BeforeTheLastLineFeed", kHead + "Content-Length: 10\r\n\r", false, false},
        BrokenAnswer{"AfterAnInterimAnswer", "HTTP/1.1 102 Processing\r\n\r\n", false, false},
        BrokenAnswer{"InTheHeadAfterAnInterimAnswer", "HTTP/1.1 102 Processing\r\n\r\n" + kHead,
                     false, false},
        BrokenAnswer{"InTheBody", kHead + "Content-Length: 10\r\n\r\nabc", false, false},
        BrokenAnswer{"InAChunk", kChunkedHead + "9\r\nabc", false, false},
        BrokenAnswer{"BetweenChunks", kChunkedHead + "3\r\nabc\r\n", false, false},
        BrokenAnswer{"InTheTrailer", kChunkedHead + "0\r\nX: y\r\n", false, false},
        BrokenAnswer{"BodyWithoutLength", kHead + "\r\nabc", true, false},
        BrokenAnswer{"Whole", kHead + "Content-Length: 3\r\n\r\nabc", true, true}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(CallPortHttpClientTest, FieldsOfAnInterimAnswerAreNotThoseOfTheAnswer) {
  RawServer server("127.0.0.1", 0, [](RawServerConnection& connection) {
    connection.readHead();
    connection.send("HTTP/1.1 103 Early Hints\r\nX: interim\r\n\r\n");
    connection.send("HTTP/1.1 200 OK\r\nX: final\r\nContent-Length: 2\r\n\r\nok");
    connection.readToEnd();
  });
  const HttpClientResult result = sendTo(server, 0);
  EXPECT_TRUE(result.complete);
  EXPECT_EQ(result.header("X"), "final");
}

struct EndlessAnswer {
  const char* name;
  std::string start;
  std::string repeat;
};

void PrintTo(const EndlessAnswer& answer, std::ostream* out) {
  *out << answer.name;
}

class CallPortEndlessAnswerTest : public testing::TestWithParam<EndlessAnswer> {};

// Guards against memory that grows with what a back end sends, until the call's deadline.
TEST_P(CallPortEndlessAnswerTest, IsGivenUpAtTheLimit) {
  constexpr std::size_t kBlockBytes = 4096;
  constexpr std::size_t kSentLimit = 256U << 20U;
  std::atomic<std::size_t> sent{0};
  HttpClientResult result;
  {
    RawServer server("127.0.0.1", 0, [&sent](RawServerConnection& connection) {
      connection.readHead();
      connection.send(GetParam().start);
      connection.sendForever(repeated(GetParam().repeat, kBlockBytes), kSentLimit);
      sent = connection.sent();
    });
    result = sendTo(server, 0);
  }
  EXPECT_FALSE(result.complete);
  EXPECT_LE(result.body.size(), kMaximumBodyBytes);
  EXPECT_LT(sent, kSentLimit);
}

INSTANTIATE_TEST_SUITE_P(
    Parts, CallPortEndlessAnswerTest,
    testing::Values(EndlessAnswer{"NoHttp", "", "\xff\x01"},
                    EndlessAnswer{"FirstLine", "HTTP/1.1 200 ", "x"},
                    EndlessAnswer{"Field", kHead + "X: ", "x"},
                    EndlessAnswer{"Fields", kHead, "X: y\r\n"},
                    EndlessAnswer{"InterimAnswers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
                    EndlessAnswer{"BodyWithoutLength", kHead + "\r\n", "x"},
                    EndlessAnswer{"LongBody", kHead + "Content-Length: 999999999999\r\n\r\n", "x"},
                    EndlessAnswer{"Chunks", kChunkedHead, "4\r\nabcd\r\n"},
                    EndlessAnswer{"ChunkSize", kChunkedHead, "0"},
                    EndlessAnswer{"Trailer", kChunkedHead + "0\r\n", "X: y\r\n"}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace ramppond
