// Request bodies that are too long to buffer, while the request waits for a server of its service.
#include <gtest/gtest.h>

#include "net/stream/http_head.h"
#include "tests/platform/forwarding_fixture.h"

namespace ramppond::fake_platform {
namespace {

// Above the proxy's buffer limit and below the configured maximum body size.
constexpr auto long_body_bytes = std::size_t(99000);

TEST_F(ForwardingTest, LongBodyWaitingForServerArrivesCompleteAndRunsOnce) {
  for (const auto machine : {std::size_t(1), std::size_t(3)}) {
    this->deployment_.servers[machine]->beat("draining");
  }
  this->deployment_.runFor(milliseconds(1500));
  auto wanted = this->request("/two/w", "long");
  wanted.method = "POST";
  for (auto i = 0; wanted.body.size() < long_body_bytes; ++i) {
    wanted.body += std::to_string(i) + ",";
  }
  auto result = Answer();
  auto done = false;
  this->deployment_.sendLater(0, wanted, [&](const Answer& answer) {
    result = answer;
    done = true;
  });
  this->deployment_.runFor(milliseconds(60));
  this->deployment_.servers[1]->beat("ready");
  this->deployment_.servers[3]->beat("ready");
  EXPECT_TRUE(this->deployment_.runUntil([&] { return done; }));
  EXPECT_EQ(result.status, 200);
  EXPECT_EQ(this->runsOf("long"), 1);
  ASSERT_GE(result.body.size(), wanted.body.size());
  EXPECT_EQ(result.body.substr(result.body.size() - wanted.body.size()), wanted.body);
}

// The last chunk is sent only after the interim response, and nothing is in flight before.
TEST_F(ForwardingTest, LongBodySentInPiecesIsReadUpToWithheldLastChunk) {
  const auto chunk = chunkBytes(std::string(long_body_bytes, 'a'));
  constexpr auto first_piece = std::size_t(70000);
  const auto head = std::string(
      "POST /two/w HTTP/1.1\r\nHost: app.example\r\nRequest-Id: pieces\r\nDeadline-Ms: 4000\r\n"
      "Ramppond-Instance: i-1\r\nRamppond-Service: two\r\nRamppond-Route: r-two\r\n"
      "Ramppond-Patience-Ms: 1000\r\nRamppond-Confirm: 99000\r\n"
      "Transfer-Encoding: chunked\r\n\r\n");
  const auto answer = this->deployment_.sendInParts(
      this->deployment_.serverHost(1), this->deployment_.ports.peers,
      {head + chunk.substr(0, first_piece), chunk.substr(first_piece), std::string(kLastChunk)},
      "Server-Stamp");
  EXPECT_NE(answer.find("HTTP/1.1 200"), std::string::npos) << answer.substr(0, 300);
  EXPECT_EQ(this->runsOf("pieces"), 1);
}

}  // namespace
}  // namespace ramppond::fake_platform
