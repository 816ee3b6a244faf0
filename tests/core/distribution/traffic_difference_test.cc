#include "core/distribution/traffic_difference.h"

#include <gtest/gtest.h>

#include <functional>
#include <ostream>

#include "core/cbor_codec.h"
#include "core/distribution/traffic_history.h"
#include "tests/core/distribution/distribution_fleet.h"

namespace ramppond {
namespace {

struct change_case {
  const char* name;
  std::function<void(TrafficConfiguration&)> change;
};

void PrintTo(const change_case& tested, std::ostream* out) {
  *out << tested.name;
}

class traffic_difference_table : public testing::TestWithParam<change_case> {};

TEST_P(traffic_difference_table, apply_restores_the_later_configuration) {
  const auto earlier = configurationOf(1, 50);
  auto later = earlier;
  later.number = 2;
  GetParam().change(later);
  const auto difference = difference_of(9, earlier, later);
  const auto sent = decode<traffic_difference>(encode(difference));
  ASSERT_TRUE(sent);
  EXPECT_EQ(sent->base_index, 9U);
  const auto applied = apply(*sent, earlier);
  ASSERT_TRUE(applied);
  EXPECT_EQ(encode(*applied), encode(later));
  EXPECT_LT(encode(difference).size(), encode(earlier).size() / 4);
}

INSTANTIATE_TEST_SUITE_P(
    table, traffic_difference_table,
    testing::Values(
        change_case{"nothing", [](auto&) {}},
        change_case{"one_route", [](auto& c) { c.routes[17].priority = 3; }},
        change_case{"two_routes_apart",
                    [](auto& c) { c.routes[2].goal = c.routes[40].goal = milliseconds(7); }},
        change_case{"a_route_more",
                    [](auto& c) {
                      auto added = c.routes[5];
                      added.name = "new";
                      c.routes.insert(c.routes.begin() + 20, added);
                    }},
        change_case{"routes_gone",
                    [](auto& c) { c.routes.erase(c.routes.begin() + 3, c.routes.begin() + 30); }},
        change_case{"all_routes_gone", [](auto& c) { c.routes.clear(); }},
        change_case{"order", [](auto& c) { std::swap(c.routes[1], c.routes[48]); }},
        change_case{"a_tenant",
                    [](auto& c) {
                      c.tenants.push_back({"t", {"d"}, 1, 2, 3});
                    }},
        change_case{"limits", [](auto& c) { c.limits.max_body_bytes = 5; }}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(traffic_difference, apply_rejects_another_base) {
  const auto earlier = configurationOf(1, 50);
  auto later = earlier;
  later.routes[3].priority = 4;
  const auto difference = difference_of(9, earlier, later);
  EXPECT_FALSE(apply(difference, configurationOf(1, 49)));
  EXPECT_FALSE(apply(difference, configurationOf(1, 0)));
  auto other = earlier;
  other.routes[20].priority = 4;
  EXPECT_FALSE(apply(difference, other));
  auto beyond = difference;
  beyond.routes.front().count = ~std::uint64_t(0);
  EXPECT_FALSE(apply(beyond, earlier));
}

TEST(traffic_history, keeps_differences_from_recent_configurations) {
  auto history = traffic_history();
  auto configuration = configurationOf(1, 50);
  for (auto i = std::uint64_t(1); i <= 20; ++i) {
    configuration.routes[i].priority = 7;
    history.on_in_force(10 * i, configuration);
  }
  EXPECT_EQ(history.whole(), encode(configuration));
  EXPECT_FALSE(history.difference_from(190).empty());
  EXPECT_FALSE(history.difference_from(150).empty());
  EXPECT_TRUE(history.difference_from(200).empty());
  EXPECT_TRUE(history.difference_from(20).empty());
  EXPECT_TRUE(history.difference_from(0).empty());
}

TEST(traffic_history, omits_a_difference_longer_than_the_configuration) {
  auto history = traffic_history();
  history.on_in_force(1, configurationOf(1, 50));
  auto other = configurationOf(2, 50);
  for (auto& route : other.routes) route.host += ".other";
  history.on_in_force(2, other);
  EXPECT_TRUE(history.difference_from(1).empty());
}

}  // namespace
}  // namespace ramppond
