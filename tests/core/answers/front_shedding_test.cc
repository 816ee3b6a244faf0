#include "core/answers/front_shedding.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

namespace ramppond {
namespace {

struct call_case {
  const char* name;
  request_origin origin;
  bool has_tenant;
  bool is_call;
};

// Keeps the name of a test the same in every run.
void PrintTo(const call_case& tested, std::ostream* out) {
  *out << tested.name;
}

class call_of_server_table : public testing::TestWithParam<call_case> {};

TEST_P(call_of_server_table, distinguishes_calls_from_client_requests) {
  EXPECT_EQ(is_call_of_server(GetParam().origin, GetParam().has_tenant), GetParam().is_call);
}

INSTANTIATE_TEST_SUITE_P(
    table, call_of_server_table,
    testing::Values(call_case{"client", request_origin::client, false, false},
                    call_case{"client_with_a_key", request_origin::client, true, false},
                    call_case{"server_or_unknown", request_origin::server_or_unknown, false, true},
                    call_case{"unknown_with_a_key", request_origin::server_or_unknown, true,
                              false}),
    [](const auto& info) { return std::string(info.param.name); });

struct shedding_case {
  const char* name;
  std::vector<service_overload> below;
  std::uint32_t less_urgent;
  std::string refused_for;  // empty: not refused
  int draws;
};

void PrintTo(const shedding_case& tested, std::ostream* out) {
  *out << tested.name;
}

/// Returns a seed whose first two draws lie between a quarter and a half.
auto seed_with_mid_range_draws() -> std::uint64_t {
  const auto is_mid_range = [](double draw) { return draw >= 0.25 && draw < 0.5; };
  for (auto seed = std::uint64_t(1);; ++seed) {
    auto random = Random(seed);
    const auto first = random.uniform();
    const auto second = random.uniform();
    if (is_mid_range(first) && is_mid_range(second)) {
      return seed;
    }
  }
}

class front_shedding_table : public testing::TestWithParam<shedding_case> {};

TEST_P(front_shedding_table, draws_for_each_service_until_one_refuses) {
  const auto& tested = GetParam();
  const auto seed = seed_with_mid_range_draws();
  auto random = Random(seed);
  const auto* refusing = refusing_overload(tested.below, tested.less_urgent, random);
  EXPECT_EQ(refusing == nullptr ? std::string() : refusing->service, tested.refused_for);
  auto expected = Random(seed);
  for (auto i = 0; i < tested.draws; ++i) {
    expected.uniform();
  }
  EXPECT_EQ(random.next(), expected.next());
}

INSTANTIATE_TEST_SUITE_P(
    table, front_shedding_table,
    testing::Values(
        shedding_case{"no_overload", {}, 0, "", 0},
        shedding_case{"level_above_the_draw", {{"records", {0.5}}}, 0, "records", 1},
        shedding_case{"level_below_the_draw", {{"records", {0.25}}}, 0, "", 1},
        shedding_case{"less_urgent_requests_go_first", {{"records", {1.25}}}, 1, "", 1},
        shedding_case{"level_beyond_the_less_urgent", {{"records", {1.5}}}, 1, "records", 1},
        shedding_case{"first_service_refuses", {{"desk", {0.5}}, {"records", {0.5}}}, 0, "desk", 1},
        shedding_case{
            "second_service_refuses", {{"desk", {0.1}}, {"records", {0.5}}}, 0, "records", 2},
        shedding_case{"neither_refuses", {{"desk", {0.1}}, {"records", {0.1}}}, 0, "", 2}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(front_shedding, refuses_the_share_of_a_caller_and_draws_no_number_for_none) {
  auto random = Random(7);
  auto refused = 0;
  for (auto request = 0; request < 1000; ++request) {
    refused += refused_beyond_share(0.4, random) ? 1 : 0;
  }
  EXPECT_NEAR(refused, 400, 60);
  auto untouched = random;
  EXPECT_FALSE(refused_beyond_share(0, random));
  EXPECT_EQ(random.next(), untouched.next());
}

}  // namespace
}  // namespace ramppond
