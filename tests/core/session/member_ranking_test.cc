#include "core/session/member_ranking.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace ramppond {
namespace {

auto addresses(int count) -> std::vector<std::string> {
  auto list = std::vector<std::string>();
  for (auto i = 0; i < count; ++i) list.push_back("10.0.0." + std::to_string(i) + ":1");
  return list;
}

auto places(const std::vector<std::string>& members, const std::string& zone = "")
    -> std::vector<ControlMemberLocation> {
  auto list = std::vector<ControlMemberLocation>();
  for (const auto& member : members) list.push_back({member, zone});
  return list;
}

auto proxy_with(int key) -> ranked_proxy {
  return {static_cast<std::uint64_t>(key), "zone-a"};
}

auto all_moved(TimePoint now) -> TimePoint {
  return now + seconds(60);
}

TEST(member_ranking, a_member_that_joins_takes_its_own_share_only) {
  auto moved = 0, moved_elsewhere = 0;
  for (auto key = 1; key <= 1000; ++key) {
    auto ranking = member_ranking(proxy_with(key), addresses(5));
    ranking.on_members(places(addresses(5)), seconds(0));
    ranking.return_if_due(seconds(0));
    const auto before = ranking.current();
    ranking.on_members(places(addresses(6)), seconds(1));
    EXPECT_EQ(ranking.current(), before);  // not at once
    ranking.return_if_due(all_moved(seconds(1)));
    moved += ranking.current() != before ? 1 : 0;
    moved_elsewhere += ranking.current() != before && ranking.current() != "10.0.0.5:1" ? 1 : 0;
  }
  EXPECT_NEAR(moved, 1000 / 6, 40);
  EXPECT_EQ(moved_elsewhere, 0);
}

TEST(member_ranking, moves_to_a_member_that_joins_are_spread_over_seconds) {
  auto moved = std::vector<int>(5, 0);
  for (auto key = 1; key <= 1000; ++key) {
    auto ranking = member_ranking(proxy_with(key), addresses(5));
    ranking.on_members(places(addresses(5)), seconds(0));
    ranking.return_if_due(seconds(0));
    ranking.on_members(places(addresses(6)), seconds(0));
    for (auto second = 0; second < 5; ++second) {
      moved[second] += ranking.return_if_due(seconds(second + 1)) ? 1 : 0;
    }
  }
  for (const auto count : moved) EXPECT_LT(count, 60);
}

TEST(member_ranking, members_of_the_own_zone_come_first_then_the_others) {
  for (auto key = 1; key <= 50; ++key) {
    auto ranking = member_ranking(proxy_with(key), addresses(3));
    auto members = places(addresses(5), "zone-b");
    members[1].zone = members[4].zone = "zone-a";
    ranking.on_members(members, seconds(1));
    ranking.return_if_due(seconds(1));
    auto asked = std::vector<std::string>();
    for (auto i = 0; i < 5; ++i) {
      asked.push_back(ranking.current());
      ranking.on_failed(seconds(1));
    }
    std::sort(asked.begin(), asked.begin() + 2);
    EXPECT_EQ(asked[0], "10.0.0.1:1");
    EXPECT_EQ(asked[1], "10.0.0.4:1");
  }
}

TEST(member_ranking, asks_the_next_after_a_failure_and_returns_later_each_time) {
  auto ranking = member_ranking(proxy_with(1), addresses(3));
  const auto first = ranking.current();
  auto now = TimePoint(0);
  auto pause = Duration(0);
  for (auto failed = 0; failed < 3; ++failed) {
    ranking.on_failed(now);
    EXPECT_NE(ranking.current(), first);
    const auto begin = now;
    while (!ranking.return_if_due(now)) now += milliseconds(100);
    EXPECT_EQ(ranking.current(), first);
    EXPECT_GE(now - begin, pause);
    pause = seconds(10) * (1 << failed);
  }
}

TEST(member_ranking, comes_to_every_member_in_turn_and_to_those_of_before) {
  auto ranking = member_ranking(proxy_with(1), {"seed:1"});
  ranking.on_members(places({"a:1", "b:1"}), seconds(0));
  ranking.on_members(places({"b:1", "c:1"}), seconds(1));
  auto asked = std::vector<std::string>();
  for (auto i = 0; i < 4; ++i) {
    asked.push_back(ranking.current());
    ranking.on_failed(seconds(2));
  }
  std::sort(asked.begin(), asked.end());
  EXPECT_EQ(asked, (std::vector<std::string>{"a:1", "b:1", "c:1", "seed:1"}));
}

TEST(member_ranking, without_any_address_there_is_nobody_to_ask) {
  auto ranking = member_ranking(proxy_with(1), {});
  EXPECT_TRUE(ranking.empty());
  ranking.on_failed(seconds(1));
  ranking.set_seeds({"a:1"});
  EXPECT_EQ(ranking.current(), "a:1");
}

}  // namespace
}  // namespace ramppond
