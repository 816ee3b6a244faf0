// Load queries to peers: what an answer, a late answer and a failure change.
#include <gtest/gtest.h>

#include "daemon/proxy/load_queries.h"
#include "daemon/proxy/peer_headers.h"
#include "daemon/proxy/peer_ping.h"

namespace ramppond {
namespace {

class load_query_test : public testing::Test {
 protected:
  load_query_test() {
    this->offer(1, "first");
    this->instance = this->directory.choose("scarce", "route", {}, EventLoop::now());
  }
  void offer(std::uint64_t revision, const std::string& incarnation) {
    auto record = InstanceRecord();
    record.proxy_address = "peer";
    record.proxy_incarnation = 1;
    record.revision = revision;
    record.server_incarnation = incarnation;
    record.service = "scarce";
    record.slots = 20;
    record.state = InstanceState::kReady;
    this->directory.offer(record);
  }
  static auto response() -> HttpHead {
    auto load = ServerLoad();
    load.limit = 20;
    load.under_way = 17;
    auto head = HttpHead();
    head.fields.push_back({std::string(kPeerLoad), formatLoad(load)});
    head.fields.push_back({std::string(kPeerSlowdown), "250"});
    return head;
  }

  InstanceDirectory directory{{"zone", 1, placement_kind::expected_completion}};
  KnownInstance* instance = nullptr;
};

TEST_F(load_query_test, response_reports_load_and_slowdown) {
  auto query = peer_ping(this->directory, *this->instance, ping_purpose::load_query);
  query.onResponseHead(response());
  EXPECT_EQ(this->instance->load.under_way, 17U);
  ASSERT_TRUE(this->instance->slowdown);
  EXPECT_DOUBLE_EQ(*this->instance->slowdown, 2.5);
}

// Guards against the load of a former server that is attributed to the one that replaced it.
TEST_F(load_query_test, response_is_dropped_if_the_server_was_replaced) {
  auto query = peer_ping(this->directory, *this->instance, ping_purpose::load_query);
  this->offer(2, "second");
  query.onResponseHead(response());
  EXPECT_EQ(this->instance->load.limit, 0U);
  EXPECT_FALSE(this->instance->slowdown);
}

// Guards against a lost load query that hides a silent peer: the detector would start again.
TEST_F(load_query_test, failure_does_not_affect_the_detection_of_a_silent_peer) {
  const auto sent = EventLoop::now();
  this->directory.onSent(*this->instance, sent);
  ASSERT_EQ(this->directory.checkLiveness(sent + seconds(1)).to_ping.size(), 1U);
  auto query = peer_ping(this->directory, *this->instance, ping_purpose::load_query);
  query.onRequestFailed(ClientFailure::kNoAnswer);
  EXPECT_EQ(this->directory.checkLiveness(sent + seconds(2)).silent.size(), 1U);
}

// Guards against a named rate that is forgotten, so that requests beyond it are sent: answers to
// pings do not carry it.
TEST_F(load_query_test, response_keeps_the_rate_that_the_server_named) {
  auto load = ServerLoad();
  load.rate = rate_load{{5}, 0.5};
  this->directory.onLoad(*this->instance, "route", load, EventLoop::now());
  auto query = peer_ping(this->directory, *this->instance, ping_purpose::load_query);
  query.onResponseHead(response());
  ASSERT_TRUE(this->instance->rate());
  EXPECT_DOUBLE_EQ(this->instance->rate()->limit.per_second, 5);
}

// Guards against connections that pile up towards a paused process: it accepts them and answers
// nothing.
TEST_F(load_query_test, no_second_query_while_the_last_one_is_unanswered) {
  auto loop = EventLoop();  // Not run before the end, so that nothing is answered.
  auto pools = peer_pools(loop, "Request-Id");
  auto queries = load_queries(this->directory, pools, placement_kind::expected_completion, "zone");
  auto load = ServerLoad();
  load.limit = 20;
  load.under_way = 20;
  load.service_time = milliseconds(30);
  const auto reported = EventLoop::now();
  this->directory.onLoad(*this->instance, "route", load, reported);
  for (const auto age : {milliseconds(200), milliseconds(400)}) {
    ASSERT_NE(this->directory.choose("scarce", "route", {}, reported + age), nullptr);
    EXPECT_EQ(this->instance->load_queried, reported + age);
    queries.on_sent(*this->instance);
    EXPECT_EQ(pools.pool_for("peer").open(), 1U);
  }
  // Ends the connection attempt, which keeps itself alive until then.
  while (pools.pool_for("peer").open() > 0) {
    loop.context().run_one();
  }
}

}  // namespace
}  // namespace ramppond
