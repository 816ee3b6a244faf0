#include "core/call_model/planning.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace ramppond {
namespace {

ConfigurationChange setWorkTypeChange(const std::string& name, WorkKind kind) {
  ConfigurationChange change;
  change.type = ChangeType::kSetWorkType;
  change.work_type = {name, name + "-service", "/", kind, 0};
  return change;
}

ConfigurationChange addIntentChange(const std::string& higher, const std::string& lower) {
  ConfigurationChange change;
  change.type = ChangeType::kAddIntent;
  change.intent = {higher, lower};
  return change;
}

Configuration exampleConfiguration() {
  Configuration configuration;
  EXPECT_FALSE(applyChanges({setWorkTypeChange("lodgements", WorkKind::kCommitOnce),
                             setWorkTypeChange("templates", WorkKind::kLookup),
                             setWorkTypeChange("history", WorkKind::kLookup),
                             setWorkTypeChange("exports", WorkKind::kBulk)},
                            configuration));
  return configuration;
}

TEST(Planning, ParseIntentAcceptsOnlyNameOutrankName) {
  const auto intent = parseIntent("lodgements outrank exports");
  ASSERT_TRUE(intent);
  EXPECT_EQ(intent->higher, "lodgements");
  EXPECT_EQ(intent->lower, "exports");
  EXPECT_TRUE(parseIntent("a outranks b"));
  EXPECT_FALSE(parseIntent("a beats b"));
  EXPECT_FALSE(parseIntent("a outrank"));
  EXPECT_FALSE(parseIntent("a outrank b c"));
}

TEST(Planning, WithoutIntentsBulkIsShedFirstAndCommitOnceLast) {
  const auto order = exampleConfiguration().shedOrder();
  ASSERT_EQ(order.size(), 4U);
  EXPECT_EQ(order.front(), "exports");
  EXPECT_EQ(order.back(), "lodgements");
}

TEST(Planning, IntentOrdersWorkTypesWithinKind) {
  Configuration configuration = exampleConfiguration();
  ASSERT_FALSE(applyChanges({addIntentChange("history", "templates")}, configuration));
  const std::vector<std::string> expected = {"exports", "templates", "history", "lodgements"};
  EXPECT_EQ(configuration.shedOrder(), expected);
}

TEST(Planning, IntentAgainstOrderOfKindsIsRefused) {
  Configuration configuration = exampleConfiguration();
  const auto error = applyChanges({addIntentChange("exports", "lodgements")}, configuration);
  ASSERT_TRUE(error);
  EXPECT_EQ(error->kind, ErrorKind::kPromiseOrder);
  EXPECT_TRUE(configuration.intents.empty());
}

TEST(Planning, OppositeIntentReplacesEarlierIntent) {
  Configuration configuration = exampleConfiguration();
  ASSERT_FALSE(applyChanges({addIntentChange("history", "templates")}, configuration));
  ASSERT_FALSE(applyChanges({addIntentChange("templates", "history")}, configuration));
  EXPECT_EQ(configuration.intents.size(), 1U);
}

TEST(Planning, IntentThatClosesCycleIsRefused) {
  Configuration configuration = exampleConfiguration();
  ASSERT_FALSE(
      applyChanges({setWorkTypeChange("areas", WorkKind::kLookup),
                    addIntentChange("history", "templates"), addIntentChange("templates", "areas")},
                   configuration));
  const auto error = applyChanges({addIntentChange("areas", "history")}, configuration);
  ASSERT_TRUE(error);
  EXPECT_EQ(error->kind, ErrorKind::kPromiseOrder);
}

TEST(Planning, FailedChangeLeavesConfigurationUnchanged) {
  Configuration configuration = exampleConfiguration();
  ConfigurationChange remove;
  remove.type = ChangeType::kRemoveClass;
  remove.name = "nobody";
  const auto error =
      applyChanges({setWorkTypeChange("extra", WorkKind::kBulk), remove}, configuration);
  ASSERT_TRUE(error);
  EXPECT_EQ(error->kind, ErrorKind::kNotFound);
  EXPECT_EQ(configuration.findWorkType("extra"), nullptr);
}

TEST(Planning, CallerKeyOfOtherClassAndExcessiveWeightAreRefused) {
  Configuration configuration;
  ConfigurationChange first;
  first.type = ChangeType::kSetClass;
  first.priority_class = {"gold", 4, {"key-1"}};
  ConfigurationChange second = first;
  second.priority_class.name = "silver";
  ASSERT_FALSE(applyChanges({first}, configuration));
  EXPECT_TRUE(applyChanges({second}, configuration));
  second.priority_class.caller_keys = {"key-2"};
  second.priority_class.weight = kMaximumClassWeight + 1;
  EXPECT_TRUE(applyChanges({second}, configuration));
}

TEST(Planning, DifferenceEndsWithNewShedOrder) {
  const Configuration before = exampleConfiguration();
  Configuration after = before;
  ASSERT_FALSE(applyChanges({addIntentChange("history", "templates")}, after));
  const auto lines = describeDifference(before, after);
  ASSERT_GE(lines.size(), 3U);
  EXPECT_EQ(lines.back(), "shed order after:  exports, templates, history, lodgements");
}

TEST(Planning, RandomIntentsNeverChangeOrderOfKinds) {
  EXPECT_TRUE(rc::check([] {
    Configuration configuration = exampleConfiguration();
    const std::vector<std::string> names = {"lodgements", "templates", "history", "exports"};
    const auto pairs = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0, 4)));
    for (const auto& [higher, lower] : pairs) {
      applyChanges({addIntentChange(names[static_cast<std::size_t>(higher)],
                                    names[static_cast<std::size_t>(lower)])},
                   configuration);
    }
    const auto order = configuration.shedOrder();
    RC_ASSERT(order.front() == "exports");
    RC_ASSERT(order.back() == "lodgements");
  }));
}

}  // namespace
}  // namespace ramppond
