#include "daemon/proxy/peer_headers.h"

#include <gtest/gtest.h>

namespace ramppond {
namespace {

TEST(peer_headers, load_round_trips) {
  ServerLoad load;
  load.limit = 35;
  load.under_way = 34;
  load.waiting = 7;
  load.service_time = milliseconds(61);
  load.failed_permille = 12;
  load.shed = {1.25};
  const std::string text = formatLoad(load);
  const auto parsed = parseLoad(&text);
  ASSERT_TRUE(parsed);
  EXPECT_EQ(formatLoad(*parsed), text);
  EXPECT_DOUBLE_EQ(parsed->shed.value, 1.25);
}

TEST(peer_headers, slowdown_is_a_bounded_number_of_percent) {
  const std::string slowed = "250";
  EXPECT_EQ(parseSlowdown(&slowed), 250U);
  EXPECT_FALSE(parseSlowdown(nullptr));
  for (const std::string text :
       {"", "0", "-3", "x", "250x", "2,5", " 250", "100001", "99999999999999999999999"}) {
    EXPECT_FALSE(parseSlowdown(&text)) << text;
  }
}

TEST(peer_headers, overload_round_trips) {
  const std::string text = formatOverload({{"records", {0.42}}, {"desk", {2.5}}});
  EXPECT_EQ(text, "records=420,desk=2500");
  EXPECT_EQ(formatOverload(parseOverload(&text)), text);
}

TEST(peer_headers, withheld_body_round_trips_and_rejects_malformed_text) {
  for (const std::string text : {"none", "0", "17", "17 chunked", "0 chunked"}) {
    const auto form = parseWithheldBody(text);
    ASSERT_TRUE(form) << text;
    EXPECT_EQ(formatWithheldBody(*form), text);
  }
  for (const std::string text : {"", "x", "17 other", "17x"}) {
    EXPECT_FALSE(parseWithheldBody(text)) << text;
  }
}

TEST(peer_headers, format_overload_omits_names_with_separators) {
  EXPECT_EQ(formatOverload({{"a,b", {1}}, {"a=b", {1}}, {"a\r\nb", {1}}, {"ab", {1}}}), "ab=1000");
}

TEST(peer_headers, parse_overload_skips_malformed_entries) {
  EXPECT_TRUE(parseOverload(nullptr).empty());
  for (const std::string text : {"", ",,", "=5", "name", "=,="}) {
    EXPECT_TRUE(parseOverload(&text).empty()) << text;
  }
  const std::string large = "a=99999999999999999999999,b=x,c=-1";
  for (const auto& entry : parseOverload(&large)) {
    EXPECT_GE(entry.level.value, 0);
    EXPECT_LE(entry.level.value, 1000);
  }
  std::string many;
  for (int i = 0; i < 1000; ++i) {
    many += "s" + std::to_string(i) + "=1,";
  }
  EXPECT_LE(parseOverload(&many).size(), 32U);
}

TEST(peer_headers, rate_round_trips_and_rejects_malformed_text) {
  const std::string text = formatRate({{12.3}, 2.5});
  EXPECT_EQ(text, "12300/2500");
  const auto parsed = parseRate(&text);
  ASSERT_TRUE(parsed);
  EXPECT_DOUBLE_EQ(parsed->limit.per_second, 12.3);
  EXPECT_DOUBLE_EQ(parsed->demand, 2.5);
  EXPECT_EQ(formatRate({{1e30}, 0}), "1000000000000000/0");
  EXPECT_FALSE(parseRate(nullptr));
  for (const std::string malformed : {"", "12300", "12300/", "/1", "x/1", "1/x", "1/2x"}) {
    EXPECT_FALSE(parseRate(&malformed)) << malformed;
  }
}

TEST(peer_headers, root_round_trips) {
  for (const auto& root :
       {request_root{0, true, "/lookup"}, request_root{4294967295, false, "council/lodge"},
        request_root{7, true, ""}, request_root{1, false, "a,b\r\nc%/\xc3\xa9 /x"}}) {
    const std::string text = formatRoot(root);
    EXPECT_EQ(text.find_first_of("\r\n ,"), std::string::npos) << text;
    const auto parsed = parseRoot(&text);
    ASSERT_TRUE(parsed) << text;
    EXPECT_TRUE(*parsed == root) << text;
  }
}

// A long tenant name must not make the head of a request too large for the next proxy.
TEST(peer_headers, root_with_long_caller_is_shortened_to_the_same_digest) {
  const request_root root = {1, true, std::string(5000, 'x')};
  EXPECT_LE(formatRoot(root).size(), 110U);
  EXPECT_EQ(formatRoot(root), formatRoot(root));
  EXPECT_NE(formatRoot(root), formatRoot({1, true, std::string(5001, 'x')}));
  const std::string text = formatRoot(root);
  EXPECT_TRUE(parseRoot(&text));
}

TEST(peer_headers, parse_excess_clamps_and_rejects_malformed_text) {
  const std::string valid = "250";
  const std::string huge = "99999999999999999999999";
  EXPECT_EQ(parseExcess(&valid).permille, 250U);
  EXPECT_EQ(parseExcess(&huge).permille, 1000U);
  EXPECT_EQ(parseExcess(nullptr).permille, 0U);
  for (const std::string text : {"", "x", "-1", "+1", " 1", "1x", "1,2"}) {
    EXPECT_EQ(parseExcess(&text).permille, 0U) << text;
  }
}

TEST(peer_headers, parse_root_rejects_malformed_text) {
  EXPECT_FALSE(parseRoot(nullptr));
  for (const std::string text : {"", "1", "1/", "/1/x", "x/1/y", "1/2/x", "1/1", "-1/1/x",
                                 "99999999999/1/x", "1/1/%", "1/1/%4", "1/1/%zz"}) {
    EXPECT_FALSE(parseRoot(&text)) << text;
  }
  const std::string too_long = "1/1/" + std::string(97, 'x');
  EXPECT_FALSE(parseRoot(&too_long));
}

TEST(peer_headers, parse_slowdown_accepts_only_whole_numbers_within_bounds) {
  const std::string valid = "300";
  EXPECT_EQ(parseSlowdown(&valid), 300U);
  EXPECT_FALSE(parseSlowdown(nullptr));
  for (const std::string wrong : {"", "0", "-300", "300,", "text", "1.5", "100001", "1000000000"}) {
    EXPECT_FALSE(parseSlowdown(&wrong)) << wrong;
  }
}

}  // namespace
}  // namespace ramppond
