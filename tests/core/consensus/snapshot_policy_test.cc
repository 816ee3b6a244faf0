#include "core/consensus/snapshot_policy.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

namespace ramppond {
namespace {

constexpr std::uint64_t kib = 1024;

struct policy_case {
  const char* name;
  snapshot_limits limits;
  std::uint64_t snapshot_bytes;
  std::uint64_t entries;
  std::uint64_t entry_bytes;
  bool due;
};

// Without it GoogleTest prints the parameter's bytes, which differ from run to run.
void PrintTo(const policy_case& tested, std::ostream* out) {
  *out << tested.name;
}

class snapshot_policy_test : public testing::TestWithParam<policy_case> {};

TEST_P(snapshot_policy_test, is_due_once_a_limit_is_reached) {
  const auto& tested = GetParam();
  auto policy = snapshot_policy(tested.limits);
  policy.on_snapshot({tested.snapshot_bytes});
  for (auto i = std::uint64_t(0); i < tested.entries; ++i) policy.on_applied({tested.entry_bytes});
  EXPECT_EQ(policy.is_due(), tested.due);
  policy.on_snapshot({tested.snapshot_bytes});
  EXPECT_FALSE(policy.is_due());
}

INSTANTIATE_TEST_SUITE_P(
    table, snapshot_policy_test,
    testing::Values(policy_case{"few_entries", {10, 0}, 0, 9, 1, false},
                    policy_case{"many_entries", {10, 0}, 0, 10, 1, true},
                    policy_case{"no_byte_limit", {1000, 0}, kib, 100, 100 * kib, false},
                    policy_case{"first_log_small", {1000, 8}, 0, 2, 100 * kib, false},
                    policy_case{"first_log_large", {1000, 8}, 0, 3, 100 * kib, true},
                    policy_case{"below_ratio", {1000, 8}, 100 * kib, 7, 100 * kib, false},
                    policy_case{"at_ratio", {1000, 8}, 100 * kib, 8, 100 * kib, true}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace ramppond
