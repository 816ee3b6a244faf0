#include "core/retries/call_attribution.h"

#include <gtest/gtest.h>

namespace ramppond {
namespace {

using calls = std::vector<std::string>;

class call_attribution_test : public testing::Test {
 protected:
  /// Requests of clients, which come whatever the server runs.
  void client_requests(const std::string& route, int count) {
    for (int i = 0; i < count; ++i) {
      EXPECT_EQ(this->attribution.on_request(route, this->now + seconds(5)).origin,
                request_origin::client);
    }
  }

  call_attribution attribution;
  TimePoint now = seconds(100);
};

TEST_F(call_attribution_test, what_ends_later_than_all_that_runs_is_no_call) {
  EXPECT_EQ(this->attribution.on_request("front", this->now + seconds(1)).origin,
            request_origin::client);
  this->attribution.on_begun(1, "lodge", this->now + seconds(2));
  EXPECT_EQ(this->attribution.on_request("front", this->now + seconds(5)).origin,
            request_origin::client);
  EXPECT_EQ(this->attribution.on_request("check", this->now + seconds(2)).origin,
            request_origin::server_or_unknown);
  this->attribution.on_ended(1);
  EXPECT_EQ(this->attribution.on_request("lone", this->now + seconds(2)).origin,
            request_origin::client);
}

TEST_F(call_attribution_test, an_equal_deadline_names_the_caller) {
  this->attribution.on_begun(1, "lodge", this->now + milliseconds(1500));
  this->attribution.on_begun(2, "fetch", this->now + milliseconds(1700));
  for (int i = 0; i < 3; ++i) {
    this->attribution.on_request("check", this->now + milliseconds(1501));
  }
  EXPECT_EQ(this->attribution.calls_of("lodge"), calls{"check"});
  EXPECT_EQ(this->attribution.calls_of("fetch"), calls());
}

TEST_F(call_attribution_test, a_call_of_the_only_route_that_runs_is_its_call) {
  this->attribution.on_begun(1, "version", this->now + seconds(2));
  this->attribution.on_begun(2, "version", this->now + seconds(3));
  for (int i = 0; i < 3; ++i) {
    this->attribution.on_request("rule", this->now + milliseconds(700));
  }
  EXPECT_EQ(this->attribution.calls_of("version"), calls{"rule"});
}

TEST_F(call_attribution_test, the_place_of_a_call_is_known_once_whole_runs_were_seen) {
  const auto deadline = this->now + seconds(2);
  this->attribution.on_begun(1, "version", deadline);
  for (int i = 0; i < 4; ++i) {
    EXPECT_FALSE(this->attribution.on_request("rule", deadline).remaining_calls);
  }
  this->attribution.on_ended(1, true);
  this->attribution.on_begun(2, "version", deadline);
  for (auto to_come = std::uint32_t(4); to_come-- > 0;) {
    EXPECT_EQ(this->attribution.on_request("rule", deadline).remaining_calls, to_come);
  }
}

TEST_F(call_attribution_test, a_call_that_two_runs_may_have_made_has_no_place) {
  const auto deadline = this->now + seconds(2);
  this->attribution.on_begun(1, "version", deadline);
  this->attribution.on_request("rule", deadline);
  this->attribution.on_ended(1, true);
  this->attribution.on_begun(2, "version", deadline);
  this->attribution.on_begun(3, "version", deadline + milliseconds(2), true);
  const auto call = this->attribution.on_request("rule", deadline);
  EXPECT_FALSE(call.remaining_calls);
  EXPECT_TRUE(call.of_retry);
}

TEST_F(call_attribution_test, runs_that_failed_tell_nothing_of_how_many_calls_there_are) {
  const auto deadline = this->now + seconds(2);
  this->attribution.on_begun(1, "version", deadline);
  this->attribution.on_request("rule", deadline);
  this->attribution.on_ended(1, false);
  this->attribution.on_begun(2, "version", deadline);
  EXPECT_FALSE(this->attribution.on_request("rule", deadline).remaining_calls);
}

TEST_F(call_attribution_test, a_call_that_several_routes_may_have_made_names_none) {
  this->attribution.on_begun(1, "version", this->now + seconds(2));
  this->attribution.on_begun(2, "export", this->now + seconds(3));
  for (int i = 0; i < 30; ++i) {
    this->attribution.on_request("rule", this->now + milliseconds(700));
  }
  EXPECT_EQ(this->attribution.calls_of("version"), calls());
  EXPECT_EQ(this->attribution.calls_of("export"), calls());
}

// A client that tries again has less time left than the requests that run.
TEST_F(call_attribution_test, a_route_that_clients_ask_for_has_no_caller) {
  this->client_requests("front", 50);
  this->attribution.on_begun(1, "lodge", this->now + seconds(4));
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(this->attribution.on_request("front", this->now + seconds(4)).origin,
              request_origin::client);
  }
  EXPECT_EQ(this->attribution.calls_of("lodge"), calls());
}

TEST_F(call_attribution_test, deadlines_that_match_by_chance_name_no_caller) {
  this->attribution.on_begun(1, "version", this->now + seconds(2));
  for (int i = 0; i < 1000; ++i) {
    this->attribution.on_request("rule", this->now + milliseconds(700));
  }
  this->attribution.on_begun(2, "export", this->now + milliseconds(650));
  for (int i = 0; i < 4; ++i) {
    this->attribution.on_request("rule", this->now + milliseconds(650));
  }
  EXPECT_EQ(this->attribution.calls_of("version"), calls{"rule"});
  EXPECT_EQ(this->attribution.calls_of("export"), calls());
}

TEST_F(call_attribution_test, memory_stays_bounded) {
  for (int i = 0; i < 5000; ++i) {
    this->attribution.on_request("route-" + std::to_string(i), this->now + seconds(1));
  }
  EXPECT_EQ(this->attribution.on_request("route-0", this->now + seconds(1)).origin,
            request_origin::client);
}

}  // namespace
}  // namespace ramppond
