// Answers that stop in their head, with real processes.
#include <gtest/gtest.h>

#include <ostream>

#include "tests/platform/faulty_server_fixture.h"

namespace ramppond::fake_platform {
namespace {

constexpr int kDeadlineMs = 4000;
constexpr std::size_t kUploadBytes = 3U << 20U;  // Too long to be buffered whole.

struct Cut {
  const char* name;
  std::function<std::string(const std::string& id)> bytes;
};

void PrintTo(const Cut& cut, std::ostream* out) {
  *out << cut.name;
}

class CutHeadsTest : public FaultyServerTest, public testing::WithParamInterface<Cut> {
 protected:
  void startCutting(bool resets) {
    start([resets](RawServerConnection& connection, const std::string& id) {
      connection.stopAfter(GetParam().bytes(id), resets);
    });
  }
  /// The table of own answers gives 502 to a request that may have run, and 503 to one that has
  /// not.
  void expectOwnAnswer(int machine, const std::string& target, std::size_t body_bytes) {
    const std::string id = "cut-" + std::to_string(next_++);
    const Answer answer = sendTo(machine, target, id, body_bytes, kDeadlineMs);
    EXPECT_EQ(answer.status, reachedServer(id) ? 502 : 503) << id << " to " << target;
    EXPECT_EQ(answer.request_id, id);
  }
  void expectOwnAnswers() {
    for (const int machine : {kFaultyMachine, kOtherMachine}) {
      expectOwnAnswer(machine, "/safe/x", 0);
      expectOwnAnswer(machine, "/two/x", 100);
      expectOwnAnswer(machine, "/up/x", kUploadBytes);
    }
  }
};

// Guards against the part of a head that came reaching the client as a success with an empty or
// short body.
TEST_P(CutHeadsTest, ClosedInOrder) {
  startCutting(false);
  expectOwnAnswers();
}

TEST_P(CutHeadsTest, Reset) {
  startCutting(true);
  expectOwnAnswers();
}

INSTANTIATE_TEST_SUITE_P(
    Cuts, CutHeadsTest,
    testing::Values(
        Cut{"AfterTheFirstLine", [](const std::string&) { return "HTTP/1.1 200 OK\r\n"; }},
        Cut{"BetweenFields", [](const std::string& id) { return successHead(id); }},
        Cut{"InAField", [](const std::string& id) { return successHead(id) + "Content-Le"; }},
        Cut{"InAValue",
            [](const std::string& id) { return successHead(id) + "Content-Length: 1"; }},
        Cut{"BeforeTheLastLineFeed",
            [](const std::string& id) { return successHead(id) + "Content-Length: 10\r\n\r"; }},
        Cut{"AfterAnInterimAnswer",
            [](const std::string&) { return "HTTP/1.1 102 Processing\r\n\r\n"; }},
        Cut{"InTheHeadAfterAnInterimAnswer",
            [](const std::string& id) {
              return "HTTP/1.1 102 Processing\r\n\r\n" + successHead(id);
            }}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace ramppond::fake_platform
