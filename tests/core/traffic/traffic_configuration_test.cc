#include "core/traffic/traffic_configuration.h"

#include <gtest/gtest.h>

#include <functional>
#include <ostream>
#include <string>

#include "core/cbor_codec.h"
#include "core/traffic/traffic_state.h"

namespace ramppond {
namespace {

constexpr std::int64_t kOne = 1000000;

TrafficRoute route(const std::string& name, const std::string& prefix) {
  TrafficRoute route;
  route.name = name;
  route.host = "forms.example";
  route.path_prefix = prefix;
  route.timeout = seconds(5);
  route.goal = seconds(1);
  route.split = {{"desk", kOne}};
  return route;
}

TrafficConfiguration configuration(std::uint64_t number) {
  TrafficConfiguration configuration;
  configuration.number = number;
  configuration.services = {{"desk", "/health", 10}, {"yard", "/health", 10}};
  configuration.routes = {route("short", "/a/"), route("long", "/a/b/")};
  return configuration;
}

TrafficReplacement replacement(std::uint64_t base, std::uint64_t number,
                               const std::string& document) {
  return {base, configuration(number), document};
}

TEST(TrafficRoutes, MatchSelectsTheLongestPrefixOfTheHost) {
  const TrafficConfiguration traffic = configuration(1);
  const TrafficRoutes routes(traffic);
  EXPECT_EQ(routes.match("forms.example", "/a/b/c")->name, "long");
  EXPECT_EQ(routes.match("FORMS.example:80", "/a/x?y=/a/b/")->name, "short");
  EXPECT_EQ(routes.match("forms.example", "/a"), nullptr);
  EXPECT_EQ(routes.match("other.example", "/a/b/c"), nullptr);
  EXPECT_EQ(routes.match("", "/a/b/c"), nullptr);
}

TEST(TrafficRoutes, ChooseServiceFollowsTheWeights) {
  TrafficRoute split = route("split", "/a/");
  split.split = {{"desk", 3 * kOne}, {"none", 0}, {"yard", kOne}};
  EXPECT_EQ(chooseService(split, 0.0), "desk");
  EXPECT_EQ(chooseService(split, 0.74), "desk");
  EXPECT_EQ(chooseService(split, 0.76), "yard");
  EXPECT_EQ(chooseService(split, 0.9999999), "yard");
}

TEST(TrafficValidation, RejectsEachInvalidField) {
  EXPECT_EQ(validateTraffic(configuration(1)), std::nullopt);
  const auto broken = [](const std::function<void(TrafficRoute&)>& change) {
    TrafficConfiguration bad = configuration(1);
    change(bad.routes.front());
    return validateTraffic(bad).value_or("");
  };
  EXPECT_NE(broken([](TrafficRoute& bad) { bad.split.front().service = "gone"; }).find("gone"),
            std::string::npos);
  EXPECT_NE(broken([](TrafficRoute& bad) { bad.split.front().weight_millionths = 0; }), "");
  EXPECT_NE(broken([](TrafficRoute& bad) { bad.split.push_back({"yard", -1}); }), "");
  EXPECT_NE(broken([](TrafficRoute& bad) { bad.split.clear(); }), "");
  EXPECT_NE(broken([](TrafficRoute& bad) { bad.timeout = std::chrono::minutes(11); }), "");
  EXPECT_NE(broken([](TrafficRoute& bad) { bad.timeout = Duration(0); }), "");
  EXPECT_NE(broken([](TrafficRoute& bad) { bad.goal = bad.timeout + std::chrono::minutes(1); }),
            "");
  EXPECT_NE(broken([](TrafficRoute& bad) { bad.host.clear(); }), "");
  EXPECT_NE(broken([](TrafficRoute& bad) { bad.path_prefix = "a/"; }), "");
}

struct NameCase {
  const char* name;
  std::string value;
  bool is_valid;
};

void PrintTo(const NameCase& tested, std::ostream* out) {
  *out << tested.name;
}

class TrafficNames : public testing::TestWithParam<NameCase> {};

// Guards against names that end the header field in which they are sent, and against two names that
// a receiver takes for one.
TEST_P(TrafficNames, AreCheckedInWhatAnOperatorSends) {
  const NameCase& tested = GetParam();
  TrafficConfiguration tenant = configuration(1);
  tenant.tenants.push_back({tested.value, {}, 0, 0, 0});
  EXPECT_EQ(validateNewTraffic(tenant) == std::nullopt, tested.is_valid);
  TrafficConfiguration route = configuration(1);
  route.routes.front().name = tested.value;
  EXPECT_EQ(validateNewTraffic(route) == std::nullopt, tested.is_valid);
  TrafficConfiguration service = configuration(1);
  service.services.push_back({tested.value, "/health", 10});
  EXPECT_EQ(validateNewTraffic(service) == std::nullopt, tested.is_valid);
}

// A member that refuses what its log holds would come back with an older configuration.
TEST_P(TrafficNames, DoNotChangeWhatALogApplies) {
  TrafficReplacement stored = replacement(0, 2, "stored");
  stored.configuration.tenants.push_back({GetParam().value, {}, 0, 0, 0});
  TrafficState state;
  EXPECT_EQ(state.apply(stored, 5).error, ErrorKind::kNone);
}

INSTANTIATE_TEST_SUITE_P(table, TrafficNames,
                         testing::Values(NameCase{"plain", "council", true},
                                         NameCase{"space_inside", "shire council", true},
                                         NameCase{"utf8",
                                                  "\xC3\xA9"
                                                  "cole",
                                                  true},
                                         NameCase{"line_break", "a\nb", false},
                                         NameCase{"carriage_return", "a\rb", false},
                                         NameCase{"null", std::string("a\0b", 3), false},
                                         NameCase{"tab", "a\tb", false},
                                         NameCase{"delete", "a\x7F", false},
                                         NameCase{"space_at_start", " a", false},
                                         NameCase{"space_at_end", "a ", false}),
                         [](const auto& info) { return std::string(info.param.name); });

TEST(TrafficValidation, HealthPathHasVisibleCharactersOnly) {
  for (const char* path : {"/health x", "/health\r\n", "/\t"}) {
    TrafficConfiguration bad = configuration(1);
    bad.services.front().health_path = path;
    EXPECT_NE(validateNewTraffic(bad), std::nullopt) << path;
    EXPECT_EQ(validateTraffic(bad), std::nullopt) << path;
  }
}

TEST(TrafficState, SecondReplacementOfOneBaseIsAConflict) {
  TrafficState state;
  EXPECT_EQ(state.apply(replacement(0, 2, "first"), 5).error, ErrorKind::kNone);
  EXPECT_EQ(state.apply(replacement(0, 2, "second"), 6).error, ErrorKind::kVersionConflict);
  EXPECT_EQ(state.document(), "first");
  EXPECT_EQ(state.logIndex(), 5U);
}

TEST(TrafficState, RepeatedReplacementSucceedsWithoutEffect) {
  TrafficState state;
  EXPECT_EQ(state.apply(replacement(0, 2, "first"), 5).error, ErrorKind::kNone);
  EXPECT_EQ(state.apply(replacement(2, 4, "second"), 6).error, ErrorKind::kNone);
  EXPECT_EQ(state.apply(replacement(0, 2, "first"), 7).error, ErrorKind::kNone);
  EXPECT_EQ(state.document(), "second");
  EXPECT_EQ(state.logIndex(), 6U);
}

TEST(TrafficState, RejectsLowerNumbersAndInvalidConfigurations) {
  TrafficState state;
  EXPECT_EQ(state.apply(replacement(0, 2, "first"), 5).error, ErrorKind::kNone);
  EXPECT_EQ(state.apply(replacement(2, 2, "same"), 6).error, ErrorKind::kMalformedRequest);
  EXPECT_EQ(state.apply(replacement(2, 1, "older"), 7).error, ErrorKind::kMalformedRequest);
  TrafficReplacement invalid = replacement(2, 3, "invalid");
  invalid.configuration.routes.front().host.clear();
  EXPECT_EQ(state.apply(invalid, 8).error, ErrorKind::kMalformedRequest);
  EXPECT_EQ(state.configuration().number, 2U);
}

TEST(TrafficState, SnapshotRestoresTheWholeState) {
  TrafficState state;
  state.apply(replacement(0, 2, "first"), 5);
  state.apply(replacement(2, 4, "second"), 6);
  const auto decoded = decode<TrafficSnapshot>(encode(state.snapshot()));
  ASSERT_TRUE(decoded);
  TrafficState restored;
  restored.restore(*decoded);
  EXPECT_EQ(restored.document(), "second");
  EXPECT_EQ(restored.logIndex(), 6U);
  EXPECT_EQ(restored.apply(replacement(0, 2, "first"), 9).error, ErrorKind::kNone);
  EXPECT_EQ(restored.configuration().number, 4U);
}

}  // namespace
}  // namespace ramppond
