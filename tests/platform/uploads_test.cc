// Uploads longer than what other requests may buffer, with real processes.
#include <gtest/gtest.h>

#include <csignal>

#include "tests/platform/forwarding_fixture.h"

namespace ramppond::fake_platform {
namespace {

// Above the buffer limit of other requests and below the configured maximum body size.
constexpr std::size_t kUploadBytes = 99000;

class UploadsTest : public ForwardingTest {
 protected:
  void SetUp() override {
    ForwardingTest::SetUp();
    std::string document = configurationDocument("00000003", "/up/");
    const std::string safe = R"("path_prefix":"/up/","kind":"safe")";
    const std::string upload = R"("path_prefix":"/up/","kind":"upload")";
    document.replace(document.find(safe), safe.size(), upload);
    ASSERT_EQ(deployment_.put("00000002", document), 200);
    ASSERT_TRUE(deployment_.runUntil([this] { return allServe("/up/x"); }));
  }
  Request uploadRequest(const std::string& id) {
    Request upload = request("/up/x", id);
    upload.method = "POST";
    upload.body = std::string(kUploadBytes, 'u');
    return upload;
  }
  /// Sends `count` uploads at the same time and returns the answers by request id.
  std::map<std::string, Answer> sendUploads(int count) {
    std::map<std::string, Answer> answers;
    for (int number = 0; number < count; ++number) {
      const std::string id = "upload-" + std::to_string(number);
      deployment_.sendLater(0, uploadRequest(id),
                            [&answers, id](const Answer& answer) { answers[id] = answer; });
    }
    EXPECT_TRUE(
        deployment_.runUntil([&] { return answers.size() == static_cast<std::size_t>(count); }));
    return answers;
  }
};

TEST_F(UploadsTest, ArriveWholeAndRunOnce) {
  for (const auto& [id, answer] : sendUploads(12)) {
    EXPECT_EQ(answer.status, 200) << id;
    EXPECT_GE(answer.body.size(), kUploadBytes) << id;
    EXPECT_EQ(runsOf(id), 1) << id;
  }
}

// A body that was streamed to a proxy that is gone cannot be sent again, so the upload would fail
// although another server has room.
TEST_F(UploadsTest, GoToAnotherServerWhenTheProxyBesideTheFirstIsGone) {
  deployment_.proxies[1]->signal(SIGKILL);
  ASSERT_TRUE(deployment_.runUntil([&] { return !deployment_.proxies[1]->running(); }));
  for (const auto& [id, answer] : sendUploads(12)) {
    EXPECT_EQ(answer.status, 200) << id;
    EXPECT_EQ(runsOf(id), 1) << id;
  }
}

}  // namespace
}  // namespace ramppond::fake_platform
