// Slowdown in the answers to pings: the directory must not keep a value that no longer applies.
#include "daemon/proxy/peer_ping.h"

#include <gtest/gtest.h>

#include "daemon/proxy/peer_headers.h"

namespace ramppond {
namespace {

class peer_ping_test : public testing::Test {
 protected:
  peer_ping_test() {
    this->offer_incarnation("a", 1);
    this->known = this->directory.choose("desk", "r", {}, EventLoop::now());
  }

  void offer_incarnation(const std::string& incarnation, std::uint64_t revision) {
    auto record = InstanceRecord();
    record.proxy_address = "10.0.0.1:1";
    record.proxy_incarnation = 1;
    record.revision = revision;
    record.server_incarnation = incarnation;
    record.service = "desk";
    record.state = InstanceState::kReady;
    this->directory.offer(record);
  }

  /// Processes the answer to a ping; an empty `slowdown` leaves the field out.
  void answer(const std::string& slowdown) {
    auto head = HttpHead();
    head.fields.push_back({std::string(kPeerLoad), formatLoad({})});
    if (!slowdown.empty()) {
      head.fields.push_back({std::string(kPeerSlowdown), slowdown});
    }
    peer_ping(this->directory, *this->known).onResponseHead(head);
  }

  InstanceDirectory directory{{}};
  KnownInstance* known = nullptr;
};

TEST_F(peer_ping_test, directory_keeps_the_latest_slowdown) {
  ASSERT_NE(this->known, nullptr);
  this->answer("300");
  EXPECT_EQ(this->known->load.slowdown_percent, 300U);
  this->answer("100");
  EXPECT_EQ(this->known->load.slowdown_percent, 100U);
}

// An older proxy does not send the field, and any other one omits it while the value is unknown.
TEST_F(peer_ping_test, missing_or_wrong_slowdown_is_unknown) {
  ASSERT_NE(this->known, nullptr);
  for (const std::string unknown : {"", "text", "-300", "1000000000"}) {
    this->answer("300");
    this->answer(unknown);
    EXPECT_FALSE(this->known->load.slowdown_percent) << unknown;
  }
}

TEST_F(peer_ping_test, another_incarnation_of_the_server_drops_the_slowdown) {
  ASSERT_NE(this->known, nullptr);
  this->answer("300");
  this->offer_incarnation("b", 2);
  EXPECT_FALSE(this->known->load.slowdown_percent);
}

}  // namespace
}  // namespace ramppond
