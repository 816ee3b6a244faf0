// Every scenario keeps every promise, and fails when the rule that guards it is left out.
#include "lab/simulation/scenarios.h"

#include <gtest/gtest.h>

namespace ramppond {
namespace {

constexpr std::uint64_t kFirstSeed = 1;
constexpr std::uint64_t kLastSeed = 2;
constexpr std::uint64_t kMostSeedsUntilRed = 12;

Deployment deploymentOf(const std::string& name) {
  std::string error;
  auto deployment =
      readDeployment(std::string(RAMPPOND_DEPLOY_FOLDER) + "/" + name + ".toml", error);
  EXPECT_TRUE(deployment) << error;
  return deployment.value_or(Deployment{});
}

std::string describe(const ScenarioResult& result) {
  std::string text = result.failure.value_or("");
  for (const Violation& violation : result.violations) {
    text += "\n" + violation.promise + " at " + std::to_string(violation.time_us) + " us " +
            violation.nonce + ": " + violation.reason;
  }
  return text;
}

struct Case {
  std::string deployment;
  std::string scenario;
};

std::vector<Case> allCases() {
  std::vector<Case> cases;
  for (const Scenario& scenario : scenarios()) {
    cases.push_back({"brigalow", scenario.name});
    cases.push_back({"portal", scenario.name});
  }
  return cases;
}

std::string caseName(const testing::TestParamInfo<Case>& info) {
  std::string name = info.param.deployment + "_" + info.param.scenario;
  std::replace(name.begin(), name.end(), '-', '_');
  return name;
}

class ScenarioTest : public testing::TestWithParam<Case> {};

TEST_P(ScenarioTest, KeepsEveryPromise) {
  const Deployment deployment = deploymentOf(GetParam().deployment);
  const Scenario& scenario = *findScenario(GetParam().scenario);
  for (std::uint64_t seed = kFirstSeed; seed <= kLastSeed; ++seed) {
    const ScenarioResult result = runScenario(scenario, deployment, seed, "ramppond");
    EXPECT_FALSE(result.failure);
    EXPECT_TRUE(result.violations.empty()) << "seed " << seed << describe(result);
    EXPECT_GT(result.completed, 0U);
  }
}

INSTANTIATE_TEST_SUITE_P(All, ScenarioTest, testing::ValuesIn(allCases()), caseName);

class RedScenarioTest : public testing::TestWithParam<std::string> {};

TEST_P(RedScenarioTest, FailsWithoutItsRule) {
  const Scenario& scenario = *findScenario(GetParam());
  const Deployment deployment = deploymentOf("portal");
  for (std::uint64_t seed = kFirstSeed; seed <= kMostSeedsUntilRed; ++seed) {
    const ScenarioResult result = runScenario(scenario, deployment, seed, scenario.breaks_without);
    if (!result.violations.empty()) {
      return;
    }
  }
  FAIL() << scenario.breaks_without << " broke no promise in " << kMostSeedsUntilRed << " seeds";
}

std::vector<std::string> scenariosWithRule() {
  std::vector<std::string> names;
  for (const Scenario& scenario : scenarios()) {
    if (!scenario.breaks_without.empty()) {
      names.push_back(scenario.name);
    }
  }
  return names;
}

INSTANTIATE_TEST_SUITE_P(All, RedScenarioTest, testing::ValuesIn(scenariosWithRule()),
                         [](const testing::TestParamInfo<std::string>& info) {
                           std::string name = info.param;
                           std::replace(name.begin(), name.end(), '-', '_');
                           return name;
                         });

TEST(Simulation, TheSameSeedGivesTheSameHistory) {
  const Deployment deployment = deploymentOf("brigalow");
  const Scenario& scenario = *findScenario("zone-cut");
  const auto describeRun = [&](std::uint64_t seed) {
    std::string text;
    for (const HistoryEvent& event : runScenario(scenario, deployment, seed, "ramppond").history) {
      text += std::to_string(event.time_us) + historyEventName(event.type) + event.who +
              event.nonce + event.call + event.outcome + event.error + event.detail;
    }
    return text;
  };
  const std::string first = describeRun(5);
  EXPECT_FALSE(first.empty());
  EXPECT_TRUE(first == describeRun(5));
  EXPECT_FALSE(first == describeRun(6));
}

}  // namespace
}  // namespace ramppond
