#include "core/crash_evidence/request_digest.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

namespace ramppond {
namespace {

const auto asked = request_identity{"GET", "app.example", "/forms/7?full=1", "council", "body"};

struct other_request {
  const char* name;
  request_identity identity;
};

// Without this, gtest prints the bytes of the struct, which differ between runs.
void PrintTo(const other_request& tested, std::ostream* out) {
  *out << tested.name;
}

class digest_table : public testing::TestWithParam<other_request> {};

TEST_P(digest_table, differs_for_a_different_request) {
  EXPECT_NE(digest_of(GetParam().identity), digest_of(asked));
}

INSTANTIATE_TEST_SUITE_P(
    table, digest_table,
    testing::Values(
        other_request{"method", {"PUT", "app.example", "/forms/7?full=1", "council", "body"}},
        other_request{"host", {"GET", "web.example", "/forms/7?full=1", "council", "body"}},
        other_request{"path", {"GET", "app.example", "/forms/8?full=1", "council", "body"}},
        other_request{"query", {"GET", "app.example", "/forms/7?full=2", "council", "body"}},
        other_request{"caller", {"GET", "app.example", "/forms/7?full=1", "shire", "body"}},
        other_request{"body", {"GET", "app.example", "/forms/7?full=1", "council", "bodx"}},
        other_request{"border", {"GET", "app.example", "/forms/7?full=1c", "ouncil", "body"}}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(request_digest, is_equal_for_equal_requests) {
  EXPECT_EQ(digest_of(asked), digest_of(asked));
}

TEST(request_digest, ignores_the_body_beyond_the_digested_bytes) {
  const auto held = std::string(digested_body_bytes, 'x');
  const auto more = held + "more of it";
  EXPECT_EQ(digest_of({"PUT", "h", "/p", "", held}), digest_of({"PUT", "h", "/p", "", more}));
}

TEST(request_digest, parse_reverses_format) {
  const auto digest = request_digest{0x0123456789abcdefU, 0xfU};
  EXPECT_EQ(format_digest(digest), "0123456789abcdef000000000000000f");
  EXPECT_EQ(parse_digest(format_digest(digest)), digest);
}

TEST(request_digest, parse_rejects_malformed_text) {
  for (const auto* text :
       {"", "12", "0123456789abcdef000000000000000g", "0123456789abcdef000000000000000f0",
        "+123456789abcdef000000000000000f"}) {
    EXPECT_FALSE(parse_digest(text)) << text;
  }
}

}  // namespace
}  // namespace ramppond
