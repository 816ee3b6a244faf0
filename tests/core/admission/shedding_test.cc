#include "core/admission/shedding.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

namespace ramppond {
namespace {

constexpr auto now = seconds(100);

auto route_of(const std::string& name, std::uint32_t priority) -> TrafficRoute {
  auto route = TrafficRoute();
  route.name = name;
  route.priority = priority;
  return route;
}

/// Requests of a route begin here while nothing runs that could call them: they come from clients.
void clients_send(call_attribution& calls, const std::string& route) {
  for (auto i = 0; i < 10; ++i) {
    calls.on_request(route, now + seconds(5));
  }
}

/// A run of `caller` makes calls of `route`.
void server_calls(call_attribution& calls, const std::string& caller, const std::string& route) {
  calls.on_begun(1, caller, now + seconds(2));
  for (auto i = 0; i < 10; ++i) {
    calls.on_request(route, now + seconds(2));
  }
  calls.on_ended(1, true);
}

struct rank_case {
  const char* name;
  std::uint32_t rank;
  std::uint32_t less_urgent;
};

// Keeps the name of a test the same in every run.
void PrintTo(const rank_case& tested, std::ostream* out) {
  *out << tested.name;
}

class less_urgent_table : public testing::TestWithParam<rank_case> {};

TEST_P(less_urgent_table, counts_each_rank_of_clients_once) {
  auto calls = call_attribution();
  for (const auto* route : {"front", "other", "slow", "bulk"}) {
    clients_send(calls, route);
  }
  server_calls(calls, "front", "inner");
  const auto routes =
      std::vector<TrafficRoute>{route_of("front", 0), route_of("other", 2), route_of("slow", 2),
                                route_of("bulk", 5), route_of("inner", 9)};
  EXPECT_EQ(less_urgent_ranks(GetParam().rank, routes, tenant_ranks({}), calls),
            GetParam().less_urgent);
}

INSTANTIATE_TEST_SUITE_P(table, less_urgent_table,
                         testing::Values(rank_case{"most_urgent", 0, 2},
                                         rank_case{"between_two_ranks", 1, 2},
                                         rank_case{"shared_rank", 2, 1},
                                         rank_case{"least_urgent", 5, 0},
                                         rank_case{"beyond_all", 9, 0}),
                         [](const auto& info) { return std::string(info.param.name); });

TEST(downstream_overload_of, is_the_highest_level_over_the_routes_that_are_called) {
  auto calls = call_attribution();
  server_calls(calls, "front", "first");
  server_calls(calls, "front", "second");
  auto overload = downstream_overload();
  for (auto i = 0; i < 50; ++i) {
    overload.on_answer("first", {{"desk", shed_level{0.5}}}, now);
    overload.on_answer("second", {{"press", shed_level{1}}}, now);
    overload.on_answer("elsewhere", {{"store", shed_level{2}}}, now);
  }
  const auto levels = downstream_overload_of("front", calls, overload, now);
  ASSERT_EQ(levels.size(), 2U);
  EXPECT_EQ(levels[0].service, "desk");
  EXPECT_EQ(levels[1].service, "press");
  EXPECT_LT(levels[0].level.value, levels[1].level.value);
  EXPECT_TRUE(downstream_overload_of("lone", calls, overload, now).empty());
}

}  // namespace
}  // namespace ramppond
