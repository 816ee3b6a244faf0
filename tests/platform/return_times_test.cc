// Return times with real processes: clients that honour Retry-After come back to an overloaded
// service and are recognised.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "tests/platform/forwarding_fixture.h"

namespace ramppond::fake_platform {
namespace {

const char kKey[] = "key-of-the-council-0001";
// Four servers have 8 slots each.
constexpr int kClients = 120;
constexpr Duration kClientPatience = milliseconds(4000);

class ReturnTimesTest : public ForwardingTest {
 protected:
  void SetUp() override {
    ForwardingTest::SetUp();
    ASSERT_EQ(deployment_.put("00000002", tenantDocument("00000003", {{"council", {kKey}}})), 200);
    ASSERT_TRUE(deployment_.runUntil([this] { return answersKey(); }));
    for (const auto& server : deployment_.servers) {
      server->work = milliseconds(100);
    }
  }
  bool answersKey() {
    Request wanted = request("/one/x", "probe-" + std::to_string(next_++));
    wanted.headers["Authorization"] = std::string("Bearer ") + kKey;
    return deployment_.send(0, wanted).status == 200;
  }
  // A client that sends one page after another. It honours Retry-After up to a third of the time
  // that it has left, else it goes on to the next page.
  void sendPage(int client) {
    const std::string page = "/one/" + std::to_string(client) + "?page=" + std::to_string(next_++);
    send(client, page, EventLoop::now() + kClientPatience);
  }
  void send(int client, const std::string& page, TimePoint deadline) {
    if (ended_) {
      return;
    }
    Request wanted = request(page, "client-" + std::to_string(next_++));
    wanted.headers["Authorization"] = std::string("Bearer ") + kKey;
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - EventLoop::now());
    wanted.headers["Deadline-Ms"] = std::to_string(left.count());
    deployment_.sendLater(0, wanted, [this, client, page, deadline](const Answer& answer) {
      const Duration left = deadline - EventLoop::now();
      const auto wait =
          answer.retry_after.empty()
              ? Duration(0)
              : Duration(static_cast<std::int64_t>(std::stod(answer.retry_after) * 1e6));
      const bool returns = answer.status == 503 && wait <= left / 3;
      timers_.push_back(std::make_unique<LoopTimer>(deployment_.loop));
      timers_.back()->after(std::max<Duration>(wait, milliseconds(20)),
                            [this, client, page, deadline, returns] {
                              returns ? send(client, page, deadline) : sendPage(client);
                            });
    });
  }
  /// The number of kept reservations in the last log line of the kind; 0 if there is none.
  int keptReservations() {
    const std::string text = log();
    const std::string field = "\"kept\":\"";
    const auto last = text.rfind(field);
    return last == std::string::npos ? 0 : std::stoi(text.substr(last + field.size(), 9));
  }

  std::vector<std::unique_ptr<LoopTimer>> timers_;
  bool ended_ = false;
};

TEST_F(ReturnTimesTest, ReturningClientsAreRecognised) {
  for (int client = 0; client < kClients; ++client) {
    sendPage(client);
  }
  EXPECT_TRUE(deployment_.runUntil([this] {
    deployment_.runFor(milliseconds(200));
    return keptReservations() >= 10;
  }));
  ended_ = true;
}

}  // namespace
}  // namespace ramppond::fake_platform
