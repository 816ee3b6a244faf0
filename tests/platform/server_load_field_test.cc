#include "platform/server_load_field.h"

#include <gtest/gtest.h>

namespace ramppond::platform {
namespace {

auto parse(const std::string& value) -> named_server_load {
  return parse_server_load("Load", {value});
}

TEST(server_load_field, parses_four_values) {
  const auto parsed = parse("3, 14,24,300");
  const auto* report = std::get_if<server_load_report>(&parsed);
  ASSERT_NE(report, nullptr);
  EXPECT_EQ(report->running, 3U);
  EXPECT_EQ(report->waiting, 14U);
  EXPECT_EQ(report->slots, 24U);
  EXPECT_EQ(report->slowdown_percent, 300U);
}

TEST(server_load_field, three_values_have_no_slowdown) {
  const auto parsed = parse("3,14,24");
  const auto* report = std::get_if<server_load_report>(&parsed);
  ASSERT_NE(report, nullptr);
  EXPECT_FALSE(report->slowdown_percent);
}

TEST(server_load_field, absent_field_is_no_report) {
  EXPECT_TRUE(std::holds_alternative<no_load_report>(parse_server_load("Load", {})));
}

TEST(server_load_field, bounds_are_included) {
  EXPECT_TRUE(std::holds_alternative<server_load_report>(parse("1000000,0,1000000,100000")));
  EXPECT_TRUE(std::holds_alternative<server_load_report>(parse("0,0,0,1")));
}

class wrong_server_load : public testing::TestWithParam<const char*> {};

TEST_P(wrong_server_load, is_unreadable) {
  const auto parsed = parse(GetParam());
  const auto* unreadable = std::get_if<unreadable_load_report>(&parsed);
  ASSERT_NE(unreadable, nullptr);
  EXPECT_EQ(unreadable->reason.rfind("Load: expected", 0), 0U);
}

INSTANTIATE_TEST_SUITE_P(values, wrong_server_load,
                         testing::Values("", ",", "1", "1,2", "1,2,3,", "1,,3,100", "1,2,3,100,5",
                                         "-1,2,3,100", "1,2,3,-100", "1,2,3,0", "1,2,3,100001",
                                         "1,2,3,1000000000", "1000000000,2,3,100",
                                         "1,2,3,99999999999999999999", "1,2,3,text", "text",
                                         "1,2,3,1.5", "1,2,3,+100", "0x1,2,3,100", "1;2;3;100"));

TEST(server_load_field, several_fields_are_unreadable) {
  const auto parsed = parse_server_load("Load", {"1,2,3,100", "1,2,3,100"});
  EXPECT_TRUE(std::holds_alternative<unreadable_load_report>(parsed));
}

TEST(server_load_field, reason_quotes_only_the_begin_of_a_long_value) {
  const auto parsed = parse(std::string(60'000, 'x'));
  EXPECT_LT(std::get<unreadable_load_report>(parsed).reason.size(), 200U);
}

}  // namespace
}  // namespace ramppond::platform
