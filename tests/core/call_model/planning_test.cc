#include "core/call_model/planning.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace ramppond {
namespace {

ConfigurationChange workChange(const std::string& name, WorkKind kind) {
  ConfigurationChange change;
  change.type = ChangeType::kSetWorkType;
  change.work_type = {name, name + "-service", "/", kind, 0};
  return change;
}

ConfigurationChange intentChange(const std::string& higher, const std::string& lower) {
  ConfigurationChange change;
  change.type = ChangeType::kAddIntent;
  change.intent = {higher, lower};
  return change;
}

Configuration brigalow() {
  Configuration configuration;
  EXPECT_FALSE(applyChanges(
      {workChange("lodgements", WorkKind::kCommitOnce), workChange("templates", WorkKind::kLookup),
       workChange("history", WorkKind::kLookup), workChange("exports", WorkKind::kBulk)},
      configuration));
  return configuration;
}

TEST(Planning, ParsesIntents) {
  const auto intent = parseIntent("lodgements outrank exports");
  ASSERT_TRUE(intent);
  EXPECT_EQ(intent->higher, "lodgements");
  EXPECT_EQ(intent->lower, "exports");
  EXPECT_TRUE(parseIntent("a outranks b"));
  EXPECT_FALSE(parseIntent("a beats b"));
  EXPECT_FALSE(parseIntent("a outrank"));
  EXPECT_FALSE(parseIntent("a outrank b c"));
}

TEST(Planning, KindsAloneGiveThePromisedOrder) {
  const auto order = brigalow().shedOrder();
  ASSERT_EQ(order.size(), 4U);
  EXPECT_EQ(order.front(), "exports");
  EXPECT_EQ(order.back(), "lodgements");
}

TEST(Planning, AnIntentOrdersWorkWithinAKind) {
  Configuration configuration = brigalow();
  ASSERT_FALSE(applyChanges({intentChange("history", "templates")}, configuration));
  const std::vector<std::string> expected = {"exports", "templates", "history", "lodgements"};
  EXPECT_EQ(configuration.shedOrder(), expected);
}

TEST(Planning, AnIntentAgainstThePromisedOrderIsRefused) {
  Configuration configuration = brigalow();
  const auto error = applyChanges({intentChange("exports", "lodgements")}, configuration);
  ASSERT_TRUE(error);
  EXPECT_EQ(error->kind, ErrorKind::kPromiseOrder);
  EXPECT_TRUE(configuration.intents.empty());
}

TEST(Planning, AnOppositeIntentReplacesTheEarlierOne) {
  Configuration configuration = brigalow();
  ASSERT_FALSE(applyChanges({intentChange("history", "templates")}, configuration));
  ASSERT_FALSE(applyChanges({intentChange("templates", "history")}, configuration));
  EXPECT_EQ(configuration.intents.size(), 1U);
}

TEST(Planning, ACycleOverSeveralIntentsIsRefused) {
  Configuration configuration = brigalow();
  ASSERT_FALSE(
      applyChanges({workChange("areas", WorkKind::kLookup), intentChange("history", "templates"),
                    intentChange("templates", "areas")},
                   configuration));
  const auto error = applyChanges({intentChange("areas", "history")}, configuration);
  ASSERT_TRUE(error);
  EXPECT_EQ(error->kind, ErrorKind::kPromiseOrder);
}

TEST(Planning, ChangesApplyAllOrNone) {
  Configuration configuration = brigalow();
  ConfigurationChange remove;
  remove.type = ChangeType::kRemoveClass;
  remove.name = "nobody";
  const auto error = applyChanges({workChange("extra", WorkKind::kBulk), remove}, configuration);
  ASSERT_TRUE(error);
  EXPECT_EQ(error->kind, ErrorKind::kNotFound);
  EXPECT_EQ(configuration.findWorkType("extra"), nullptr);
}

TEST(Planning, ACallerKeyBelongsToOneClass) {
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

TEST(Planning, APlanShowsTheShedOrderBeforeAndAfter) {
  const Configuration before = brigalow();
  Configuration after = before;
  ASSERT_FALSE(applyChanges({intentChange("history", "templates")}, after));
  const auto lines = describeDifference(before, after);
  ASSERT_GE(lines.size(), 3U);
  EXPECT_EQ(lines.back(), "shed order after:  exports, templates, history, lodgements");
}

TEST(Planning, NoSequenceOfIntentsInvertsTheKinds) {
  EXPECT_TRUE(rc::check([] {
    Configuration configuration = brigalow();
    const std::vector<std::string> names = {"lodgements", "templates", "history", "exports"};
    const auto pairs = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0, 4)));
    for (const auto& [higher, lower] : pairs) {
      applyChanges({intentChange(names[static_cast<std::size_t>(higher)],
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
