#include "net/stream/socket_quota.h"

#include <gtest/gtest.h>

#include <ostream>

namespace ramppond {
namespace {

struct quota_case {
  const char* name;
  std::uint32_t most;
  std::uint32_t open;
  bool scarce;
  bool exhausted;
};

// Keeps the name of a test the same in every run.
void PrintTo(const quota_case& tested, std::ostream* out) {
  *out << tested.name;
}

class socket_quota_test : public testing::TestWithParam<quota_case> {};

TEST_P(socket_quota_test, tells_what_is_left) {
  const auto& tested = GetParam();
  auto quota = socket_quota();
  if (tested.most > 0) quota.limit({tested.most});
  for (auto i = 0U; i < tested.open; ++i) quota.on_opened();
  EXPECT_EQ(quota.is_scarce(), tested.scarce);
  EXPECT_EQ(quota.is_exhausted(), tested.exhausted);
}

INSTANTIATE_TEST_SUITE_P(table, socket_quota_test,
                         testing::Values(quota_case{"no_limit", 0, 100000, false, false},
                                         quota_case{"idle", 4100, 0, false, false},
                                         quota_case{"below_scarce", 4100, 2882, false, false},
                                         quota_case{"scarce", 4100, 2883, true, false},
                                         quota_case{"below_exhausted", 4100, 3651, true, false},
                                         quota_case{"exhausted", 4100, 3652, true, true},
                                         quota_case{"tiny_limit", 1, 1, true, true}),
                         [](const auto& info) { return std::string(info.param.name); });

TEST(socket_quota, counts_down_again) {
  auto quota = socket_quota();
  quota.limit({8});
  for (auto i = 0; i < 6; ++i) quota.on_opened();
  EXPECT_TRUE(quota.is_exhausted());
  for (auto i = 0; i < 3; ++i) quota.on_closed();
  EXPECT_EQ(quota.open().value, 3U);
  EXPECT_FALSE(quota.is_scarce());
}

}  // namespace
}  // namespace ramppond
