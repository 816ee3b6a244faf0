#include "core/retries/call_attribution.h"

#include <gtest/gtest.h>

namespace ramppond {
namespace {

using calls = std::vector<std::string>;

class call_attribution_test : public testing::Test {
 protected:
  /// Requests of clients, which arrive independent of the runs at the server.
  void client_requests(const std::string& route, int count) {
    for (int i = 0; i < count; ++i) {
      EXPECT_EQ(this->attribution.on_request(route, this->now + seconds(5)).origin,
                request_origin::client);
    }
  }

  call_attribution attribution;
  TimePoint now = seconds(100);
};

TEST_F(call_attribution_test, request_with_later_deadline_than_all_runs_is_from_a_client) {
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

TEST_F(call_attribution_test, equal_deadline_identifies_the_caller) {
  this->attribution.on_begun(1, "lodge", this->now + milliseconds(1500));
  this->attribution.on_begun(2, "fetch", this->now + milliseconds(1700));
  for (int i = 0; i < 3; ++i) {
    this->attribution.on_request("check", this->now + milliseconds(1501));
  }
  EXPECT_EQ(this->attribution.calls_of("lodge"), calls{"check"});
  EXPECT_EQ(this->attribution.calls_of("fetch"), calls());
}

TEST_F(call_attribution_test, call_is_attributed_to_the_only_running_route) {
  this->attribution.on_begun(1, "version", this->now + seconds(2));
  this->attribution.on_begun(2, "version", this->now + seconds(3));
  for (int i = 0; i < 3; ++i) {
    this->attribution.on_request("rule", this->now + milliseconds(700));
  }
  EXPECT_EQ(this->attribution.calls_of("version"), calls{"rule"});
}

TEST_F(call_attribution_test, remaining_calls_are_known_after_a_complete_run) {
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

TEST_F(call_attribution_test, remaining_calls_are_unknown_if_two_runs_match) {
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

TEST_F(call_attribution_test, failed_runs_do_not_count_for_calls_per_run) {
  const auto deadline = this->now + seconds(2);
  this->attribution.on_begun(1, "version", deadline);
  this->attribution.on_request("rule", deadline);
  this->attribution.on_ended(1, false);
  this->attribution.on_begun(2, "version", deadline);
  EXPECT_FALSE(this->attribution.on_request("rule", deadline).remaining_calls);
}

TEST_F(call_attribution_test, call_is_not_attributed_if_several_routes_match) {
  this->attribution.on_begun(1, "version", this->now + seconds(2));
  this->attribution.on_begun(2, "export", this->now + seconds(3));
  for (int i = 0; i < 30; ++i) {
    this->attribution.on_request("rule", this->now + milliseconds(700));
  }
  EXPECT_EQ(this->attribution.calls_of("version"), calls());
  EXPECT_EQ(this->attribution.calls_of("export"), calls());
}

// The deadline of a client's retry may be earlier than the deadlines of the runs.
TEST_F(call_attribution_test, route_requested_by_clients_has_no_caller) {
  this->client_requests("front", 50);
  this->attribution.on_begun(1, "lodge", this->now + seconds(4));
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(this->attribution.on_request("front", this->now + seconds(4)).origin,
              request_origin::client);
  }
  EXPECT_EQ(this->attribution.calls_of("lodge"), calls());
}

TEST_F(call_attribution_test, chance_matches_identify_no_caller) {
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

TEST_F(call_attribution_test, number_of_routes_is_bounded) {
  for (int i = 0; i < 5000; ++i) {
    this->attribution.on_request("route-" + std::to_string(i), this->now + seconds(1));
  }
  EXPECT_EQ(this->attribution.on_request("route-0", this->now + seconds(1)).origin,
            request_origin::client);
}

TEST_F(call_attribution_test, call_gets_the_root_of_its_run) {
  const auto root = request_root{2, true, "council/lookup"};
  this->attribution.on_begun(1, "lookup", this->now + milliseconds(1500), false, root);
  const auto request = this->attribution.on_request("check", this->now + milliseconds(1500));
  ASSERT_TRUE(request.root);
  EXPECT_TRUE(*request.root == root);
}

// Several runs may match a call. It must not be charged to a caller that did not make it, and must
// not lose the rank of the more urgent one.
TEST_F(call_attribution_test, call_of_one_of_several_runs_gets_what_their_roots_share) {
  const auto deadline = this->now + milliseconds(1500);
  this->attribution.on_begun(1, "lookup", deadline, false, request_root{2, true, "a/lookup"});
  this->attribution.on_begun(2, "lodge", deadline, false, request_root{1, false, "b/lodge"});
  const auto request = this->attribution.on_request("check", deadline);
  ASSERT_TRUE(request.root);
  EXPECT_TRUE(*request.root == (request_root{1, false, ""}));
}

TEST_F(call_attribution_test, call_has_no_root_if_most_runs_that_may_have_made_it_have_none) {
  const auto deadline = this->now + milliseconds(1500);
  this->attribution.on_begun(1, "lookup", deadline, false, request_root{2, true, "a/lookup"});
  this->attribution.on_begun(2, "lodge", deadline);
  this->attribution.on_begun(3, "lodge", deadline);
  EXPECT_FALSE(this->attribution.on_request("check", deadline).root);
}

// A call with a shorter deadline than its run matches no run. Without an estimate, calls deep in a
// tree would lose their root.
TEST_F(call_attribution_test, call_with_a_deadline_of_its_own_gets_the_usual_root_of_its_callers) {
  const auto lodge = request_root{1, false, "a/lodge"};
  for (call_attribution::run_id id = 1; id <= 3; ++id) {
    const auto deadline = this->now + milliseconds(100) * static_cast<std::int64_t>(id);
    this->attribution.on_begun(id, "read", deadline, false, lodge);
    this->attribution.on_request("tile", deadline);
    this->attribution.on_ended(id);
  }
  this->attribution.on_begun(4, "read", this->now + milliseconds(1200), false, lodge);
  this->attribution.on_begun(5, "read", this->now + milliseconds(1100), false, lodge);
  this->attribution.on_begun(6, "read", this->now + milliseconds(1000), false,
                             request_root{1, true, "a/lookup"});
  this->attribution.on_begun(7, "read", this->now + milliseconds(300), false,
                             request_root{0, true, "a/other"});
  this->attribution.on_begun(8, "upload", this->now + milliseconds(4000), false,
                             request_root{0, false, "a/upload"});
  const auto request = this->attribution.on_request("tile", this->now + milliseconds(700));
  ASSERT_TRUE(request.root);
  EXPECT_TRUE(*request.root == (request_root{1, false, ""}));
}

}  // namespace
}  // namespace ramppond
