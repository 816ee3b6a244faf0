#include "core/crash_evidence/crash_ledger.h"

#include <gtest/gtest.h>

#include "core/crash_evidence/quarantine_placement.h"

namespace ramppond {
namespace {

constexpr auto harmful = request_digest{1, 1};
constexpr auto beside = request_digest{2, 2};
constexpr auto popular = request_digest{3, 3};
const auto here = server_instance{"a", "templates"};
const auto there = server_instance{"b", "templates"};

class two_proxies : public testing::Test {
 protected:
  void pass_on() {
    for (auto round = 0; round < 4; ++round) {  // until nobody has anything to report
      this->second.take(this->first.take_unreported(), there, this->now);
      this->first.take(this->second.take_unreported(), here, this->now);
    }
  }
  void crash(crash_ledger& ledger, const server_instance& server,
             const std::vector<request_digest>& under_way) {
    for (const auto& digest : under_way) {
      const auto isolated = this->suspects(ledger, digest);
      ledger.on_lost({server.id, digest, isolated}, this->now);
    }
    EXPECT_TRUE(ledger.on_server_gone(server, this->now));
  }
  auto suspects(const crash_ledger& ledger, const request_digest& digest) -> bool {
    return !std::holds_alternative<unsuspected>(ledger.judge(digest, this->now));
  }
  auto blocks(const crash_ledger& ledger, const request_digest& digest) -> bool {
    return std::holds_alternative<blocked>(ledger.judge(digest, this->now));
  }

  crash_ledger first;
  crash_ledger second;
  TimePoint now = TimePoint(std::chrono::hours(10));
};

TEST_F(two_proxies, block_what_crashed_both_servers_and_clear_what_was_beside) {
  this->crash(this->first, here, {harmful, beside});
  this->pass_on();
  EXPECT_TRUE(this->suspects(this->second, harmful));
  EXPECT_TRUE(this->suspects(this->second, beside));
  this->crash(this->second, there, {harmful});
  this->pass_on();
  for (const auto* ledger : {&this->first, &this->second}) {
    EXPECT_TRUE(this->blocks(*ledger, harmful));
    EXPECT_FALSE(this->suspects(*ledger, beside));
  }
}

TEST_F(two_proxies, report_to_each_other_by_a_retry_before_the_record_has_come) {
  this->crash(this->first, here, {harmful, beside});
  this->second.on_reported_crash(harmful, this->now);
  this->crash(this->second, there, {harmful, popular});
  this->pass_on();
  EXPECT_TRUE(this->blocks(this->first, harmful));
  EXPECT_TRUE(this->blocks(this->second, harmful));
}

TEST_F(two_proxies, suspect_nothing_that_succeeded_at_the_server_of_late) {
  this->first.on_success(popular, here, this->now);
  this->crash(this->first, here, {popular, beside});
  this->pass_on();
  EXPECT_FALSE(this->suspects(this->first, popular));
  EXPECT_FALSE(this->suspects(this->second, popular));
}

TEST_F(two_proxies, clear_for_all_what_succeeded_at_one) {
  this->second.on_success(popular, there, this->now);
  this->crash(this->first, here, {popular});
  this->crash(this->first, {"a2", "templates"}, {popular});
  EXPECT_TRUE(this->suspects(this->first, popular));
  this->pass_on();
  EXPECT_FALSE(this->suspects(this->first, popular));
  EXPECT_FALSE(this->suspects(this->second, popular));
  EXPECT_EQ(this->second.cleared(), 1U);
}

// A proxy that joins receives records of crashes only: what was cleared since is not held against
// anybody.
TEST_F(two_proxies, withdraw_what_was_cleared_from_what_a_third_receives) {
  this->crash(this->first, here, {popular});
  this->crash(this->first, {"a2", "templates"}, {popular});
  auto reported = this->first.take_unreported();
  this->second.take(reported, there, this->now);
  this->second.on_success(popular, there, this->now);
  this->first.take(this->second.take_unreported(), here, this->now);
  for (const auto& evidence : this->first.take_unreported()) {
    reported.push_back(evidence);
  }
  auto third = crash_ledger();
  third.take(reported, {"c", "templates"}, this->now + seconds(60));
  this->now += seconds(60);
  EXPECT_FALSE(this->suspects(third, popular));
}

TEST(quarantine_placement, is_one_daemon_for_all_and_moves_only_when_it_is_gone) {
  auto proxies = std::vector<std::string>();
  for (auto i = 0; i < 200; ++i) {
    proxies.push_back("10.0.0." + std::to_string(i) + ":7060");
  }
  for (auto request = std::uint64_t(1); request < 50; ++request) {
    const auto digest = request_digest{request, request};
    auto places = std::vector<std::string>();
    for (const auto& proxy : proxies) {
      if (is_quarantine_proxy(digest, proxy, proxies)) {
        places.push_back(proxy);
      }
    }
    ASSERT_EQ(places.size(), 1U);
    auto fewer = proxies;
    fewer.erase(std::find(fewer.begin(), fewer.end(), places[0]) == fewer.begin() ? fewer.end() - 1
                                                                                  : fewer.begin());
    EXPECT_TRUE(is_quarantine_proxy(digest, places[0], fewer));
  }
}

}  // namespace
}  // namespace ramppond
