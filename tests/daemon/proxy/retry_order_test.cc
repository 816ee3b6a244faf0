// The class of a forwarded request's retry, and the totals of the log event `retry_order`.
#include "daemon/proxy/retry_order.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

#include "daemon/proxy/forwarded_params.h"

namespace ramppond {
namespace {

struct params_case {
  const char* name;
  bool is_call;
  std::optional<request_root> root;
  bool has_not_run;
  retry_class expected;
};

// Keeps the name of a test the same in every run.
void PrintTo(const params_case& tested, std::ostream* out) {
  *out << tested.name;
}

class ordered_retry_table : public testing::TestWithParam<params_case> {};

TEST_P(ordered_retry_table, class_follows_from_origin_and_root) {
  auto params = forwarded_params();
  params.is_call = GetParam().is_call;
  params.root = GetParam().root;
  params.attributed.remaining_calls = 2;
  const auto retry = ordered_retry_of(params, GetParam().has_not_run);
  EXPECT_EQ(class_of(retry), GetParam().expected);
  EXPECT_EQ(retry.remaining_calls, 2U);
}

INSTANTIATE_TEST_SUITE_P(
    table, ordered_retry_table,
    testing::Values(params_case{"call_of_unrepeatable", true, request_root{0, false, "a/lodge"},
                                true, retry_class::unrepeatable_tree},
                    params_case{"call_of_repeatable", true, request_root{0, true, "a/lookup"}, true,
                                retry_class::repeatable_tree},
                    // The field is missing: an older proxy passed the call on.
                    params_case{"call_without_root", true, std::nullopt, true,
                                retry_class::repeatable_tree},
                    params_case{"direct_not_run", false, request_root{0, false, "a/lodge"}, true,
                                retry_class::direct},
                    params_case{"direct_may_have_run", false, request_root{0, true, "a/lookup"},
                                false, retry_class::repeatable_tree}),
    [](const auto& info) { return std::string(info.param.name); });

// While the part is inactive, neither the root of a tree nor a forecast may change a reserve.
TEST(reserve_for, follows_the_order_only_while_it_is_active) {
  for (const auto is_call : {false, true}) {
    for (const auto repeatable : {false, true}) {
      const auto asked = ordered_retry{is_call, true, repeatable, 2};
      EXPECT_EQ(reserve_for(asked, false).share, reserve_of(is_call, 2).share);
      EXPECT_EQ(reserve_for(asked, false).forecast, Duration(0));
      EXPECT_EQ(reserve_for(asked, true).share, reserve_in_order(asked).share);
      EXPECT_EQ(reserve_for(asked, true).forecast, retry_forecast);
    }
  }
}

TEST(retry_order_totals, fields_tell_granted_and_denied_by_class) {
  auto totals = retry_order_totals();
  for (const auto granted : {true, true, false}) {
    totals.record(retry_class::unrepeatable_tree, granted);
  }
  totals.record(retry_class::repeatable_tree, false);
  totals.record(retry_class::direct, true);
  auto text = std::string();
  for (const auto& field : totals.fields()) {
    text += std::string(field.key) + "=" + field.value + " ";
  }
  EXPECT_EQ(text,
            "unrepeatable_granted=2 unrepeatable_denied=1 repeatable_granted=0 "
            "repeatable_denied=1 direct_granted=1 direct_denied=0 ");
}

// A proxy without retries must not write a line every five seconds.
TEST(retry_order_totals, write_log_only_after_a_change) {
  auto totals = retry_order_totals();
  const auto written = [&totals] {
    testing::internal::CaptureStdout();
    totals.write_log(seconds(1));
    return testing::internal::GetCapturedStdout();
  };
  EXPECT_EQ(written(), "");
  totals.record(retry_class::direct, false);
  EXPECT_NE(written().find("\"event\":\"retry_order\""), std::string::npos);
  EXPECT_EQ(written(), "");
}

}  // namespace
}  // namespace ramppond
