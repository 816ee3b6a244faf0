// Who a request is taken for: keys, public routes, and what is said when keys cannot be judged.
#include "core/tenants/identity.h"

#include <gtest/gtest.h>

#include <string>

#include "core/tenants/key_digest.h"

namespace ramppond {
namespace {

auto tenants() -> std::vector<TenantDefinition> {
  auto council = TenantDefinition();
  council.name = "council";
  council.key_digests = {key_digest("first"), key_digest("second")};
  auto grazier = TenantDefinition();
  grazier.name = "grazier";
  grazier.key_digests = {key_digest("third")};
  return {council, grazier};
}

enum class expected { anonymous, council, refused, unjudged };

struct identity_row {
  const char* name;
  CredentialForm form;
  const char* key;
  bool is_public;
  authority held;
  expected result;
};

void PrintTo(const identity_row& row, std::ostream* out) {
  *out << row.name;
}

class identity_test : public testing::TestWithParam<identity_row> {};

TEST_P(identity_test, is_as_expected) {
  const auto& row = GetParam();
  const auto defined = tenants();
  const auto keys = api_keys(defined);
  auto route = TrafficRoute();
  route.is_public = row.is_public;
  const auto found = identify(route, keys, {row.form, row.key}, row.held);
  switch (row.result) {
    case expected::refused:
      EXPECT_TRUE(std::holds_alternative<key_refused>(found));
      return;
    case expected::unjudged:
      EXPECT_TRUE(std::holds_alternative<key_unverifiable>(found));
      return;
    case expected::anonymous:
    case expected::council:
      ASSERT_TRUE(std::holds_alternative<identified>(found));
      const auto* tenant = std::get<identified>(found).tenant;
      EXPECT_EQ(tenant == nullptr ? "" : tenant->name,
                row.result == expected::council ? "council" : "");
  }
}

constexpr auto key = CredentialForm::kKey;
constexpr auto none = CredentialForm::kNone;
constexpr auto malformed = CredentialForm::kMalformed;

INSTANTIATE_TEST_SUITE_P(
    rows, identity_test,
    testing::Values(
        identity_row{"known", key, "first", false, authority::fresh, expected::council},
        identity_row{"second_key", key, "second", false, authority::fresh, expected::council},
        identity_row{"known_stale", key, "first", false, authority::stale, expected::council},
        identity_row{"known_lapsed", key, "first", false, authority::lapsed, expected::unjudged},
        identity_row{"unknown", key, "fourth", false, authority::fresh, expected::refused},
        identity_row{"unknown_stale", key, "fourth", false, authority::stale, expected::unjudged},
        identity_row{"unknown_lapsed", key, "fourth", false, authority::lapsed, expected::unjudged},
        identity_row{"part_of_a_key", key, "firs", false, authority::fresh, expected::refused},
        identity_row{"other_case", key, "First", false, authority::fresh, expected::refused},
        identity_row{"no_key", none, "", false, authority::fresh, expected::refused},
        identity_row{"no_key_lapsed", none, "", false, authority::lapsed, expected::unjudged},
        identity_row{"malformed", malformed, "", false, authority::fresh, expected::refused},
        identity_row{"public_no_key", none, "", true, authority::fresh, expected::anonymous},
        identity_row{"public_lapsed", key, "first", true, authority::lapsed, expected::anonymous},
        identity_row{"public_known", key, "first", true, authority::fresh, expected::council},
        identity_row{"public_unknown", key, "fourth", true, authority::fresh, expected::anonymous}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(key_digest, is_sha_256_and_does_not_hold_the_key) {
  const auto digest = key_digest("abc");
  ASSERT_EQ(digest.size(), 32U);
  EXPECT_EQ(static_cast<unsigned char>(digest.front()), 0xba);  // FIPS 180-2, B.1
  EXPECT_EQ(static_cast<unsigned char>(digest.back()), 0xad);
  EXPECT_EQ(key_digest("a long key of some tenant").find("key"), std::string::npos);
}

}  // namespace
}  // namespace ramppond
