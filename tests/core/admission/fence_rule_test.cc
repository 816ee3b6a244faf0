#include "core/admission/fence_rule.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

namespace ramppond {
namespace {

struct fence_case {
  const char* name;
  FenceVerdict verdict;
  bool ends_soon;
  std::optional<inbound_refusal> refusal;
};

// Keeps the name of a test the same in every run.
void PrintTo(const fence_case& tested, std::ostream* out) {
  *out << tested.name;
}

class fence_table : public testing::TestWithParam<fence_case> {};

TEST_P(fence_table, maps_verdict_to_refusal) {
  EXPECT_EQ(refusal_at_fence(GetParam().verdict, GetParam().ends_soon), GetParam().refusal);
}

INSTANTIATE_TEST_SUITE_P(
    table, fence_table,
    testing::Values(
        fence_case{"right_instance", FenceVerdict::kAdmit, false, std::nullopt},
        fence_case{"no_server", FenceVerdict::kNoServer, false, inbound_refusal::other_instance},
        fence_case{"other_instance", FenceVerdict::kOtherInstance, false,
                   inbound_refusal::other_instance},
        fence_case{"draining", FenceVerdict::kDraining, false, inbound_refusal::draining},
        fence_case{"ends_soon", FenceVerdict::kAdmit, true, inbound_refusal::draining},
        fence_case{"ends_soon_without_server", FenceVerdict::kNoServer, true,
                   inbound_refusal::draining},
        fence_case{"ends_soon_beside_other_instance", FenceVerdict::kOtherInstance, true,
                   inbound_refusal::draining},
        fence_case{"ends_soon_while_draining", FenceVerdict::kDraining, true,
                   inbound_refusal::draining}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(draining_admission, is_a_third_of_the_drain_timeout) {
  EXPECT_EQ(draining_admission_time(milliseconds(2100)), milliseconds(700));
}

}  // namespace
}  // namespace ramppond
