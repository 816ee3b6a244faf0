// Answers that a server gives while an upload is still arriving and that end in different ways,
// with real processes.
#include <gtest/gtest.h>

#include <ostream>

#include "net/stream/http_head.h"
#include "tests/platform/faulty_server_fixture.h"

namespace ramppond::fake_platform {
namespace {

// More than all sockets and buffers on the way hold, so that the proxy beside the server still
// writes when the answer ends.
constexpr std::size_t kUploadBytes = 24U << 20U;
constexpr std::size_t kAnswerBytes = 40000;
constexpr int kUploadsPerMachine = 3;
constexpr int kDeadlineMs = 8000;

enum class AnswerEnd : std::uint8_t {
  kReset,                 ///< As after a crash.
  kCloseWithUnreadBytes,  ///< The system resets the connection.
  kNeverReadsOn,          ///< Nothing more comes and nothing is read.
  kOrderlyThenReset,      ///< The end of the answer is sent; then the server stops reading.
};

struct EarlyAnswer {
  const char* name;
  std::string framing;     ///< The rest of the head.
  std::size_t body_bytes;  ///< Sent of kAnswerBytes.
  std::string last;        ///< Behind the body.
  AnswerEnd end;
};

void PrintTo(const EarlyAnswer& answer, std::ostream* out) {
  *out << answer.name;
}

void give(RawServerConnection& connection, const std::string& id, const EarlyAnswer& answer) {
  constexpr int kArrivalMs = 150;      // Until the answer has arrived and the upload goes on.
  constexpr int kNeverReadsMs = 6000;  // Longer than a proxy's time-out for a write.
  connection.send(successHead(id) + answer.framing);
  connection.send(std::string(answer.body_bytes, 'x') + answer.last);
  if (answer.end == AnswerEnd::kOrderlyThenReset) {
    connection.finishSending();
  }
  connection.pause(answer.end == AnswerEnd::kNeverReadsOn ? kNeverReadsMs : kArrivalMs);
  if (answer.end != AnswerEnd::kCloseWithUnreadBytes) {
    connection.resetOnClose();
  }
}

class BrokenAnswersTest : public FaultyServerTest, public testing::WithParamInterface<EarlyAnswer> {
 protected:
  void SetUp() override {
    start([](RawServerConnection& connection, const std::string& id) {
      give(connection, id, GetParam());
    });
  }
  std::map<std::string, Answer> sendUploads(int machine) {
    std::map<std::string, Answer> answers;
    for (int number = 0; number < kUploadsPerMachine; ++number) {
      const std::string id = "up-" + std::to_string(machine) + "-" + std::to_string(number);
      Request upload = request("/up/x", id);
      upload.method = "POST";
      upload.body = std::string(kUploadBytes, 'u');
      upload.headers["Deadline-Ms"] = std::to_string(kDeadlineMs);
      deployment_.sendLater(machine, upload,
                            [&answers, id](const Answer& answer) { answers[id] = answer; });
    }
    EXPECT_TRUE(deployment_.runUntil([&] { return answers.size() == kUploadsPerMachine; }));
    return answers;
  }
};

class CutEarlyAnswersTest : public BrokenAnswersTest {};
class WholeEarlyAnswersTest : public BrokenAnswersTest {};

// Guards against an answer that a crash, a close or a time-out cuts off being complete at the
// client, by whichever machine its request came in.
TEST_P(CutEarlyAnswersTest, AreNeverComplete) {
  for (const int machine : {kFaultyMachine, kOtherMachine}) {
    for (const auto& [id, answer] : sendUploads(machine)) {
      EXPECT_FALSE(answer.complete && answer.status == 200) << id << " " << answer.body.size();
      EXPECT_TRUE(reachedServer(id) || answer.status == 503) << id;
    }
  }
}

// Guards against the loss of answers that a sound server sent whole before its end, while the proxy
// was still writing.
TEST_P(WholeEarlyAnswersTest, Arrive) {
  for (const int machine : {kFaultyMachine, kOtherMachine}) {
    for (const auto& [id, answer] : sendUploads(machine)) {
      EXPECT_TRUE(answer.complete) << id;
      EXPECT_EQ(answer.status, 200) << id;
      EXPECT_EQ(answer.body, std::string(kAnswerBytes, 'x')) << id;
    }
  }
}

const std::string kNoLength = "Connection: close\r\n\r\n";
const std::string kLength = "Content-Length: " + std::to_string(kAnswerBytes) + "\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    Answers, CutEarlyAnswersTest,
    testing::Values(
        EarlyAnswer{"WithoutLengthReset", kNoLength, kAnswerBytes / 2, "", AnswerEnd::kReset},
        EarlyAnswer{"WithoutLengthUnreadBytes", kNoLength, kAnswerBytes / 2, "",
                    AnswerEnd::kCloseWithUnreadBytes},
        EarlyAnswer{"WithoutLengthTimedOut", kNoLength, kAnswerBytes / 2, "",
                    AnswerEnd::kNeverReadsOn},
        EarlyAnswer{"WithLengthReset", kLength, kAnswerBytes / 2, "", AnswerEnd::kReset}),
    [](const auto& info) { return std::string(info.param.name); });

INSTANTIATE_TEST_SUITE_P(
    Answers, WholeEarlyAnswersTest,
    testing::Values(EarlyAnswer{"WithoutLengthThenReset", kNoLength, kAnswerBytes, "",
                                AnswerEnd::kOrderlyThenReset},
                    EarlyAnswer{"WithLengthThenReset", kLength, kAnswerBytes, "",
                                AnswerEnd::kReset},
                    EarlyAnswer{"WithLengthThenUnreadBytes", kLength, kAnswerBytes, "",
                                AnswerEnd::kCloseWithUnreadBytes}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace ramppond::fake_platform
