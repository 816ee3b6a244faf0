#include "core/retries/root_estimate.h"

#include <gtest/gtest.h>

#include <ostream>
#include <vector>

namespace ramppond {
namespace {

using roots = std::vector<std::optional<request_root>>;

struct estimate_case {
  const char* name;
  roots candidates;
  std::optional<request_root> expected;
};

void PrintTo(const estimate_case& tested, std::ostream* out) {
  *out << tested.name;
}

class root_estimate_table : public testing::TestWithParam<estimate_case> {};

TEST_P(root_estimate_table, is_the_most_frequent_kind) {
  auto estimate = root_estimate();
  for (const auto& candidate : GetParam().candidates) {
    estimate.add(candidate);
  }
  const auto result = estimate.result();
  ASSERT_EQ(result.has_value(), GetParam().expected.has_value());
  if (result) {
    EXPECT_TRUE(*result == *GetParam().expected) << result->rank << " " << result->caller;
  }
}

const auto urgent = request_root{0, false, "a/lodge"};
const auto other = request_root{2, true, "a/lookup"};

INSTANTIATE_TEST_SUITE_P(
    table, root_estimate_table,
    testing::Values(
        estimate_case{"no_candidates", {}, std::nullopt}, estimate_case{"one", {other}, other},
        estimate_case{"same_caller_twice", {other, other}, other},
        estimate_case{"majority", {other, urgent, other}, request_root{2, true, ""}},
        estimate_case{"tie", {other, urgent}, request_root{0, false, ""}},
        estimate_case{"tie_in_another_order", {urgent, other}, request_root{0, false, ""}},
        estimate_case{"callers_of_one_kind",
                      {other, request_root{2, true, "b/lookup"}},
                      request_root{2, true, ""}},
        estimate_case{"unknown_among_known", {other, std::nullopt}, request_root{2, true, ""}},
        estimate_case{"mostly_unknown", {other, std::nullopt, std::nullopt}, std::nullopt},
        estimate_case{"unknown_only", {std::nullopt}, std::nullopt}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace ramppond
