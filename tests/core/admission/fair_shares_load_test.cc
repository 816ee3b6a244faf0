// Measures what callers get of a scarce service when one of them, or a kind of request, grows: with
// the current rule, with shares of each server alone, and with the excess shed at the edge.
#include <gtest/gtest.h>

#include <algorithm>
#include <ostream>

#include "tests/core/admission/share_fleet.h"

namespace ramppond {
namespace {

// Required by docs/design/0015: a caller within its share completes at most this much less of its
// requests than without the growth of the other caller.
constexpr double max_drop = 0.05;
constexpr int calls_of_a_tree = 4;
constexpr double room = 1.2;  // of the service, as a multiple of the usual load

enum class rule { current, of_each_server, shed_at_the_edge };

struct load_case {
  const char* name;
  std::vector<fleet_caller> callers;  // `per_second`: parts of the usual load
  std::size_t servers = 3;
  Duration report_delay = milliseconds(5);
  double report_loss = 0;
  TimePoint restart_at{0};
};

void PrintTo(const load_case& tested, std::ostream* out) {  // NOLINT(readability-identifier-naming)
  *out << tested.name;
}

/// Forty callers; the first one, of `weight` times the volume of another, grows eight times.
auto forty_callers(double weight, std::uint32_t rank, std::uint32_t rank_of_half)
    -> std::vector<fleet_caller> {
  auto callers = std::vector<fleet_caller>{{"large", rank, weight, 8}};
  for (auto number = 1; number < 40; ++number) {
    callers.push_back({std::to_string(number), number % 2 == 0 ? 1 : rank_of_half, 1});
  }
  return callers;
}

// The large caller's calls come from proxies that tell no root.
auto caller_without_root() -> std::vector<fleet_caller> {
  auto callers = forty_callers(3, 1, 1);
  callers[0].has_root = false;
  return callers;
}

auto one_route_grows() -> std::vector<fleet_caller> {
  auto callers = std::vector<fleet_caller>();
  for (auto number = 0; number < 40; ++number) {
    callers.push_back({std::to_string(number), 1, 1, number % 4 == 0 ? 5.0 : 1.0});
  }
  return callers;
}

auto ten_thousand_callers() -> std::vector<fleet_caller> {
  return {{"large", 1, 1, 8}, {"crowd", 1, 9, 1, 9999}};
}

auto plan_of(const load_case& load, rule tested, bool grows) -> fleet_plan {
  auto plan = fleet_plan();
  plan.callers = load.callers;
  plan.servers = load.servers;
  plan.proxies = 8;
  plan.calls = calls_of_a_tree;
  plan.server_shares = tested != rule::current;
  plan.edge_shares = tested == rule::shed_at_the_edge;
  plan.report_delay = load.report_delay;
  plan.report_loss = load.report_loss;
  plan.restart_at = load.restart_at;
  auto parts = 0.0;
  for (const auto& caller : plan.callers) {
    parts += caller.per_second;
  }
  const auto usual =
      share_fleet::calls_per_second * static_cast<double>(load.servers) / calls_of_a_tree / room;
  for (auto& caller : plan.callers) {
    caller.per_second *= usual / parts;
    caller.growth = grows ? caller.growth : 1;
  }
  return plan;
}

struct load_result {
  double drop = 0;       // of the completed share of callers that do not grow, all together
  double max_drop = 0;   // of the one that loses the most
  double completed = 0;  // trees a second, of all callers
};

auto play(const load_case& load, rule tested) -> load_result {
  const auto usual = share_fleet(plan_of(load, tested, false)).play();
  const auto grown = share_fleet(plan_of(load, tested, true)).play();
  auto result = load_result();
  auto others = fleet_count();
  auto others_usual = fleet_count();
  for (std::size_t kind = 0; kind < grown.size(); ++kind) {
    result.completed += grown[kind].complete / 25.0;
    if (load.callers[kind].growth > 1) {
      continue;
    }
    result.max_drop = std::max(result.max_drop, usual[kind].share() - grown[kind].share());
    others.begun += grown[kind].begun;
    others.complete += grown[kind].complete;
    others_usual.begun += usual[kind].begun;
    others_usual.complete += usual[kind].complete;
  }
  result.drop = others_usual.share() - others.share();
  testing::Test::RecordProperty("completed", std::to_string(result.completed));
  return result;
}

class fair_shares_load : public testing::TestWithParam<load_case> {};

TEST_P(fair_shares_load, growth_of_others_does_not_harm_a_caller_within_its_share) {
  EXPECT_LE(play(GetParam(), rule::shed_at_the_edge).max_drop, max_drop);
}

// The load would prove nothing if the current rule passed it.
TEST_P(fair_shares_load, current_rule_harms_callers_within_their_shares) {
  EXPECT_GT(play(GetParam(), rule::current).drop, max_drop);
}

// A tree that is refused deep in the service has used slots for nothing.
TEST_P(fair_shares_load, shedding_at_the_edge_completes_more_than_shares_of_each_server) {
  EXPECT_GT(play(GetParam(), rule::shed_at_the_edge).completed,
            play(GetParam(), rule::of_each_server).completed);
}

INSTANTIATE_TEST_SUITE_P(
    table, fair_shares_load,
    testing::Values(
        load_case{"one_caller_grows", forty_callers(3, 1, 1)},
        load_case{"one_caller_grows_at_one_server", forty_callers(3, 1, 1), 1},
        load_case{"less_urgent_of_two_ranks", forty_callers(3, 1, 0)},
        load_case{"one_caller_without_root_grows", caller_without_root()},
        load_case{"one_route_grows", one_route_grows(), 6},
        load_case{"ten_thousand_callers", ten_thousand_callers()},
        load_case{"reports_a_second_late", forty_callers(3, 1, 1), 3, seconds(1)},
        load_case{"half_of_the_reports_lost", forty_callers(3, 1, 1), 3, milliseconds(5), 0.5},
        load_case{"proxy_restarted", forty_callers(3, 1, 1), 3, milliseconds(5), 0, seconds(15)}),
    [](const auto& info) { return std::string(info.param.name); });

// All callers together exceed the service; none of them harms the others.
constexpr double min_completed = 0.92;  // as a multiple of what the current rule completes

auto equal_callers(int number, double growth) -> std::vector<fleet_caller> {
  auto callers = std::vector<fleet_caller>();
  for (auto caller = 0; caller < number; ++caller) {
    callers.push_back({std::to_string(caller), 1, 1, growth});
  }
  return callers;
}

class fair_shares_common_overload : public testing::TestWithParam<load_case> {};

// Guards against trees of equal callers that are refused inside the service.
TEST_P(fair_shares_common_overload, completes_about_as_many_trees_as_the_current_rule) {
  const auto current = play(GetParam(), rule::current).completed;
  const auto shares = play(GetParam(), rule::shed_at_the_edge).completed;
  RecordProperty("completed_by_current_rule", std::to_string(current));
  RecordProperty("completed_with_shares", std::to_string(shares));
  EXPECT_GE(shares, current * min_completed) << current;
}

INSTANTIATE_TEST_SUITE_P(
    table, fair_shares_common_overload,
    testing::Values(load_case{"twice_the_load", equal_callers(40, 2 * room), 1},
                    load_case{"twice_the_load_at_three_servers", equal_callers(40, 2 * room), 3},
                    load_case{"four_times_the_load", equal_callers(40, 4 * room), 3},
                    load_case{"slightly_too_much", equal_callers(40, 1.3 * room), 3},
                    load_case{"few_callers", equal_callers(6, 2 * room), 3}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace ramppond
