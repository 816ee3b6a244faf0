#include "daemon/proxy/own_server.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace ramppond {
namespace {

// The circuit breaker opens after one more consecutive failure.
constexpr auto failures_before_opening = 5;

auto heartbeat_of(const std::string& instance, std::uint64_t sequence) -> ServerHeartbeat {
  auto heartbeat = ServerHeartbeat();
  heartbeat.instance_id = instance;
  heartbeat.service = "desk";
  heartbeat.slots = 100;
  heartbeat.sequence = sequence;
  return heartbeat;
}

class own_server_test : public testing::Test {
 protected:
  own_server_test() : server(this->loop, {}, seconds(1)) {
    this->server.on_changed = [this] { this->notifications.emplace_back("changed"); };
    this->server.on_departure = [this](const server_departure& departure) {
      this->notifications.push_back("departure " + departure.server_incarnation);
    };
    this->server.on_gone = [this](const std::string& incarnation) {
      this->notifications.push_back("gone " + incarnation);
    };
  }

  void fail_runs(int count) {
    for (auto i = 0; i < count; ++i) {
      this->server.admission().offer({}, EventLoop::now());
      auto run = ended_run();
      run.begun = EventLoop::now();
      run.outcome = ServerOutcome::kFailed;
      run.since_failed_call = seconds(10);
      this->server.on_dispatched(run.route, run.begun);
      this->server.on_ended(run);
    }
  }

  EventLoop loop;
  own_server server;
  std::vector<std::string> notifications;
};

TEST_F(own_server_test, heartbeat_reports_a_change_only_once) {
  const auto heartbeat = heartbeat_of("a", 1);
  this->server.on_heartbeat(heartbeat);
  const auto first = std::vector<std::string>{"gone " + ServerHeartbeat().incarnation(), "changed"};
  EXPECT_EQ(this->notifications, first);
  this->server.on_heartbeat(heartbeat_of("a", 2));
  EXPECT_EQ(this->notifications, first);
  EXPECT_EQ(this->server.fence(heartbeat.incarnation(), "desk"), FenceVerdict::kAdmit);
}

TEST_F(own_server_test, refused_connection_without_open_ones_reports_server_gone) {
  const auto heartbeat = heartbeat_of("a", 1);
  this->server.on_heartbeat(heartbeat);
  this->notifications.clear();
  EXPECT_FALSE(this->server.on_connection_refused(heartbeat.incarnation()));
  EXPECT_EQ(this->notifications,
            (std::vector<std::string>{"gone " + heartbeat.incarnation(), "changed"}));
  EXPECT_EQ(this->server.fence(heartbeat.incarnation(), "desk"), FenceVerdict::kNoServer);
}

TEST_F(own_server_test, new_incarnation_resets_circuit_breaker) {
  this->server.on_heartbeat(heartbeat_of("a", 1));
  this->fail_runs(failures_before_opening);
  this->server.on_heartbeat(heartbeat_of("b", 1));
  this->fail_runs(failures_before_opening);
  EXPECT_TRUE(this->server.breaker_admits(true));
}

TEST_F(own_server_test, limit_is_capped_by_max_connections_of_its_service) {
  this->server.on_heartbeat(heartbeat_of("a", 1));
  EXPECT_GT(this->server.load("").limit, 10U);
  this->server.set_services({{"other", "/", 1}, {"desk", "/", 10}});
  EXPECT_LE(this->server.load("").limit, 10U);
  EXPECT_GT(this->server.load("").limit, 1U);
}

TEST_F(own_server_test, load_includes_announced_limit) {
  this->server.on_heartbeat(heartbeat_of("a", 1));
  const auto a = heartbeat_of("a", 1).incarnation();
  EXPECT_FALSE(this->server.load("").rate);
  this->server.on_announced_limit(a, request_rate{12}, EventLoop::now());
  ASSERT_TRUE(this->server.load("").rate);
  EXPECT_EQ(this->server.load("").rate->limit.per_second, 12);
}

TEST_F(own_server_test, limit_from_peer_is_accepted_only_for_current_incarnation) {
  this->server.on_heartbeat(heartbeat_of("a", 1));
  this->server.on_limit_from_peer("former", {12});
  EXPECT_FALSE(this->server.load("").rate);
  this->server.on_limit_from_peer(heartbeat_of("a", 1).incarnation(), {12});
  EXPECT_TRUE(this->server.load("").rate);
}

TEST_F(own_server_test, new_incarnation_drops_announced_limit) {
  this->server.on_heartbeat(heartbeat_of("a", 1));
  const auto a = heartbeat_of("a", 1).incarnation();
  this->server.on_announced_limit(a, request_rate{12}, EventLoop::now());
  this->server.on_heartbeat(heartbeat_of("b", 1));
  EXPECT_FALSE(this->server.load("").rate);
  this->server.on_announced_limit(a, request_rate{12}, EventLoop::now());
  EXPECT_FALSE(this->server.load("").rate);
}

TEST_F(own_server_test, load_includes_slowdown_of_current_incarnation_only) {
  this->server.on_heartbeat(heartbeat_of("a", 1));
  const auto a = heartbeat_of("a", 1).incarnation();
  const auto report = server_load_report{1, 0, 100, 300};
  EXPECT_FALSE(this->server.load("").slowdown_percent);
  this->server.on_load_report("former", report);
  EXPECT_FALSE(this->server.load("").slowdown_percent);
  this->server.on_load_report(a, report);
  EXPECT_EQ(this->server.load("").slowdown_percent, 300U);
  this->server.on_heartbeat(heartbeat_of("b", 1));
  EXPECT_FALSE(this->server.load("").slowdown_percent);
}

// Peers compare servers by their present speed.
TEST_F(own_server_test, reported_service_time_follows_the_slowdown) {
  this->server.on_heartbeat(heartbeat_of("a", 1));
  const auto a = heartbeat_of("a", 1).incarnation();
  auto run = ended_run();
  run.route = "r";
  run.begun = EventLoop::now() - milliseconds(30);
  run.begun_work = this->server.slowdown().work_clock(run.begun);
  this->server.admission().offer({}, run.begun);
  this->server.on_dispatched(run.route, run.begun);
  this->server.on_ended(run);
  const auto usual = this->server.load("r").service_time;
  this->server.on_load_report(a, server_load_report{1, 0, 100, 300});
  EXPECT_EQ(this->server.load("r").service_time, 3 * usual);
  EXPECT_EQ(this->server.service_time("r"), usual);
}

// A query must not take a connection that a request needs.
TEST_F(own_server_test, health_path_needs_a_connection_to_spare) {
  this->server.on_heartbeat(heartbeat_of("a", 1));
  EXPECT_EQ(this->server.health_path(), "");
  this->server.set_services({{"desk", "/health", 0}});
  EXPECT_EQ(this->server.health_path(), "/health");
  this->server.set_services({{"desk", "/health", 20}});
  EXPECT_EQ(this->server.health_path(), "/health");
  this->server.set_services({{"desk", "/health", 1}});
  EXPECT_EQ(this->server.health_path(), "");
}

}  // namespace
}  // namespace ramppond
