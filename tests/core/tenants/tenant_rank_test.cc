#include "core/tenants/tenant_rank.h"

#include <gtest/gtest.h>

namespace ramppond {
namespace {

auto tenant(std::uint32_t priority) -> TenantDefinition {
  auto defined = TenantDefinition();
  defined.priority = priority;
  return defined;
}

TEST(tenant_ranks, tenant_priority_outranks_route_priority) {
  const auto tenants = std::vector<TenantDefinition>{tenant(1), tenant(1), tenant(0)};
  const auto ranks = tenant_ranks(tenants);
  EXPECT_LT(ranks.of(&tenants[2], 9), ranks.of(&tenants[0], 0));
  EXPECT_LT(ranks.of(&tenants[0], 0), ranks.of(&tenants[0], 2));
}

TEST(tenant_ranks, request_without_tenant_gets_the_most_common_priority) {
  const auto tenants = std::vector<TenantDefinition>{tenant(0), tenant(1), tenant(1)};
  const auto ranks = tenant_ranks(tenants);
  EXPECT_EQ(ranks.of(nullptr, 1), ranks.of(&tenants[1], 1));
  EXPECT_EQ(ranks.all(1).size(), 2U);
}

TEST(tenant_ranks, without_tenants_rank_is_the_route_priority) {
  const auto ranks = tenant_ranks({});
  EXPECT_EQ(ranks.of(nullptr, 2), 2U);
  EXPECT_EQ(ranks.all(2), std::vector<std::uint32_t>{2});
}

}  // namespace
}  // namespace ramppond
