// A request body that turns out to be longer than allowed after its server has begun to answer,
// with real processes.
#include <gtest/gtest.h>

#include <string>

#include "net/stream/http_head.h"
#include "tests/platform/forwarding_fixture.h"

namespace ramppond::fake_platform {
namespace {

// Longer than a proxy buffers of a request body, so that it is streamed; below the configured
// maximum of 100,000 bytes.
constexpr std::size_t kFirstBytes = 70000;
// Together with the first part above the maximum.
constexpr std::size_t kFurtherBytes = 40000;

class OversizedBodyTest : public ForwardingTest {
 protected:
  /// Sends a body in two chunks, the second one after the answer has begun. Returns the bytes of
  /// the answer.
  std::string answerTo(const std::string& first_chunk, const std::string& rest) {
    const std::string head = "POST /one/early HTTP/1.1\r\nHost: app.example\r\nRequest-Id: long-" +
                             std::to_string(next_++) +
                             "\r\nDeadline-Ms: 4000\r\nTransfer-Encoding: chunked\r\n\r\n";
    return deployment_.sendRestLater(deployment_.serverHost(0), deployment_.ports.clients,
                                     head + chunkBytes(first_chunk), kEarlyAnswerBytes, rest,
                                     std::string(kLastChunk));
  }
  static bool endsWithLastChunk(const std::string& answer) {
    return answer.size() >= kLastChunk.size() &&
           answer.compare(answer.size() - kLastChunk.size(), std::string::npos,
                          kLastChunk.data()) == 0;
  }
};

// Guards against text of the proxy in the body of a server's answer, and against an end of that
// answer that looks complete.
TEST_F(OversizedBodyTest, AnswerThatHasBegunIsBrokenOffWithoutForeignText) {
  const std::string answer =
      answerTo(std::string(kFirstBytes, 'b'), chunkBytes(std::string(kFurtherBytes, 'b')));
  EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 200");
  EXPECT_EQ(answer.find("body too large"), std::string::npos);
  EXPECT_FALSE(endsWithLastChunk(answer));
}

// The test above would prove nothing if such an answer never ended completely.
TEST_F(OversizedBodyTest, AnswerToABodyWithinTheLimitIsComplete) {
  const std::string answer =
      answerTo(std::string(kFirstBytes, 'b'), chunkBytes("end") + std::string(kLastChunk));
  EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 200");
  EXPECT_TRUE(endsWithLastChunk(answer));
}

}  // namespace
}  // namespace ramppond::fake_platform
