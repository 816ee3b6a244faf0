#include "core/crash_evidence/crash_attribution.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

namespace ramppond {
namespace {

constexpr auto harmful = request_digest{1, 1};
constexpr auto beside = request_digest{2, 2};
constexpr auto other = request_digest{3, 3};
const auto now = TimePoint(std::chrono::hours(10));

auto end_of(const std::string& instance, std::vector<request_digest> under_way,
            std::vector<request_digest> isolated = {}) -> instance_evidence {
  auto evidence = instance_evidence();
  evidence.instance_id = instance;
  evidence.service = "templates";
  evidence.revision = 1;
  evidence.under_way = std::move(under_way);
  evidence.isolated = std::move(isolated);
  return evidence;
}

auto good_end_at(const std::string& instance, const request_digest& digest) -> instance_evidence {
  auto evidence = end_of(instance, {});
  evidence.ended_well = {digest};
  return evidence;
}

auto name_of(const standing& held) -> std::string {
  static constexpr const char* names[] = {"unsuspected", "suspected", "on_trial", "barred"};
  return names[held.index()];
}

struct verdict_case {
  const char* name;
  std::vector<instance_evidence> records;
  const char* of_harmful;
  const char* of_beside;
};

// Keeps the name of a test the same in every run.
void PrintTo(const verdict_case& tested, std::ostream* out) {
  *out << tested.name;
}

class verdict_table : public testing::TestWithParam<verdict_case> {};

TEST_P(verdict_table, is_the_same_in_whatever_order_records_come) {
  auto records = GetParam().records;
  const auto by_instance = [](const auto& a, const auto& b) {
    return a.instance_id < b.instance_id;
  };
  std::sort(records.begin(), records.end(), by_instance);
  do {
    auto verdicts = request_verdicts();
    for (const auto& record : records) {
      verdicts.on_evidence(record, now);
      verdicts.on_evidence(record, now);  // one that comes twice changes nothing
    }
    EXPECT_EQ(name_of(verdicts.of(harmful, now)), GetParam().of_harmful);
    EXPECT_EQ(name_of(verdicts.of(beside, now)), GetParam().of_beside);
  } while (std::next_permutation(records.begin(), records.end(), by_instance));
}

INSTANTIATE_TEST_SUITE_P(
    table, verdict_table,
    testing::Values(
        verdict_case{"nothing", {}, "unsuspected", "unsuspected"},
        verdict_case{"one_end", {end_of("a", {harmful, beside})}, "suspected", "suspected"},
        verdict_case{"two_ends_with_others_to_blame",
                     {end_of("a", {harmful, beside}), end_of("b", {harmful, beside})},
                     "suspected",
                     "suspected"},
        verdict_case{"two_ends_the_second_isolated",
                     {end_of("a", {harmful, beside}), end_of("b", {harmful, other}, {harmful})},
                     "barred",
                     "unsuspected"},
        verdict_case{"one_end_isolated_after_hearsay",
                     {end_of("a", {harmful}, {harmful})},
                     "suspected",
                     "unsuspected"},
        verdict_case{"two_ends_isolated_beside_another_suspect",
                     {end_of("a", {harmful, beside}), end_of("b", {harmful, beside}, {beside})},
                     "suspected",
                     "suspected"},
        verdict_case{"two_ends_at_once_with_nothing_beside",
                     {end_of("a", {harmful}), end_of("b", {harmful})},
                     "suspected",
                     "unsuspected"},
        verdict_case{
            "three_ends_at_once",
            {end_of("a", {harmful, beside}), end_of("b", {harmful}), end_of("c", {harmful})},
            "on_trial",
            "suspected"},
        verdict_case{"a_later_end_of_what_is_barred",
                     {end_of("a", {harmful}), end_of("b", {harmful}, {harmful}),
                      end_of("c", {harmful, beside})},
                     "barred",
                     "unsuspected"}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(request_verdicts, a_good_end_anywhere_clears_a_request) {
  auto verdicts = request_verdicts();
  for (const auto* instance : {"a", "b", "c"}) {
    verdicts.on_evidence(end_of(instance, {beside}), now);
  }
  EXPECT_EQ(name_of(verdicts.of(beside, now)), "on_trial");
  verdicts.on_evidence(good_end_at("d", beside), now);
  EXPECT_EQ(name_of(verdicts.of(beside, now)), "unsuspected");
  // What was under way at the same moment is told later.
  verdicts.on_evidence(end_of("e", {beside}), now + seconds(1));
  EXPECT_EQ(name_of(verdicts.of(beside, now + seconds(1))), "unsuspected");
}

TEST(request_verdicts, only_good_ends_that_change_something_are_told) {
  auto verdicts = request_verdicts();
  EXPECT_FALSE(verdicts.on_good_end(beside, now));
  verdicts.on_evidence(end_of("a", {beside}), now);
  verdicts.on_evidence(end_of("b", {beside}), now);
  EXPECT_TRUE(verdicts.on_good_end(beside, now));
  EXPECT_FALSE(verdicts.on_good_end(beside, now + seconds(1)));
}

TEST(request_verdicts, a_wrong_bar_is_withdrawn_and_its_ends_are_open_again) {
  auto verdicts = request_verdicts();
  verdicts.on_evidence(end_of("a", {beside, harmful}), now);
  verdicts.on_evidence(end_of("b", {beside}, {beside}), now);
  EXPECT_EQ(name_of(verdicts.of(beside, now)), "barred");
  EXPECT_EQ(name_of(verdicts.of(harmful, now)), "unsuspected");
  EXPECT_TRUE(verdicts.on_good_end(beside, now));
  EXPECT_EQ(verdicts.withdrawn(), 1U);
  EXPECT_EQ(name_of(verdicts.of(beside, now)), "unsuspected");
  EXPECT_EQ(name_of(verdicts.of(harmful, now)), "suspected");
}

TEST(request_verdicts, a_bar_ends_and_one_more_end_makes_it_longer) {
  auto verdicts = request_verdicts();
  verdicts.on_evidence(end_of("a", {harmful}), now);
  verdicts.on_evidence(end_of("b", {harmful}, {harmful}), now);
  const auto bars = verdicts.take_bars();
  ASSERT_EQ(bars.size(), 1U);
  EXPECT_EQ(bars[0].instances, (std::vector<std::string>{"a", "b"}));
  const auto later = now + bars[0].length;
  EXPECT_EQ(name_of(verdicts.of(harmful, later - seconds(1))), "barred");
  EXPECT_EQ(name_of(verdicts.of(harmful, later)), "on_trial");
  verdicts.on_evidence(end_of("c", {harmful}, {harmful}), later);
  const auto again = verdicts.take_bars();
  ASSERT_EQ(again.size(), 1U);
  EXPECT_EQ(again[0].length, 2 * bars[0].length);
}

TEST(request_verdicts, a_record_that_holds_fewer_requests_clears_the_others) {
  auto verdicts = request_verdicts();
  verdicts.on_evidence(end_of("a", {harmful, beside}), now);
  auto fewer = end_of("a", {harmful});
  fewer.revision = 2;
  verdicts.on_evidence(fewer, now);
  EXPECT_EQ(name_of(verdicts.of(beside, now)), "unsuspected");
  EXPECT_EQ(name_of(verdicts.of(harmful, now)), "suspected");
}

TEST(request_verdicts, hearsay_lasts_until_the_record_can_have_come) {
  auto verdicts = request_verdicts();
  verdicts.on_hearsay(harmful, now);
  EXPECT_EQ(name_of(verdicts.of(harmful, now)), "suspected");
  EXPECT_EQ(name_of(verdicts.of(harmful, now + seconds(10))), "unsuspected");
}

TEST(request_verdicts, old_ends_count_no_more) {
  auto verdicts = request_verdicts();
  verdicts.on_evidence(end_of("a", {harmful}), now);
  EXPECT_EQ(name_of(verdicts.of(harmful, now + evidence_lifetime)), "unsuspected");
  auto old = end_of("b", {beside});
  old.age = evidence_lifetime;
  verdicts.on_evidence(old, now);
  EXPECT_EQ(name_of(verdicts.of(beside, now)), "unsuspected");
}

// A caller with a new identity for each request fills nothing and pushes no bar out.
TEST(request_verdicts, are_bounded_whatever_ends_under_whatever) {
  auto verdicts = request_verdicts();
  verdicts.on_evidence(end_of("a", {harmful}), now);
  verdicts.on_evidence(end_of("b", {harmful}, {harmful}), now);
  auto next = std::uint64_t(10);
  for (auto instance = 0; instance < 500; ++instance) {
    auto under_way = std::vector<request_digest>();
    for (auto request = 0; request < 200; ++request) {
      under_way.push_back({next, next});
      ++next;
    }
    verdicts.on_evidence(end_of("flood-" + std::to_string(instance), under_way), now);
    EXPECT_LE(verdicts.size(), 9000U);
  }
  EXPECT_EQ(name_of(verdicts.of(harmful, now)), "barred");
}

// What is dropped for want of room may still be named by what stays.
TEST(request_verdicts, outlive_the_records_and_requests_that_were_dropped) {
  auto verdicts = request_verdicts();
  auto next = std::uint64_t(10);
  const auto flood = [&](TimePoint when) {
    for (auto instance = 0; instance < 80; ++instance) {
      auto under_way = std::vector<request_digest>{harmful};
      for (auto request = 0; request < 200; ++request) {
        under_way.push_back({next, next});
        ++next;
      }
      verdicts.on_evidence(end_of("i-" + std::to_string(next), under_way, {harmful}), when);
    }
  };
  flood(now);
  EXPECT_EQ(name_of(verdicts.of(harmful, now)), "barred");
  flood(now + evidence_lifetime);
  flood(now + 2 * evidence_lifetime);
  EXPECT_EQ(name_of(verdicts.of(harmful, now + 2 * evidence_lifetime)), "barred");
  for (auto instance = 0; instance < 5000; ++instance) {
    verdicts.on_evidence(good_end_at("quiet-" + std::to_string(instance), beside),
                         now + 2 * evidence_lifetime);
  }
  EXPECT_LE(verdicts.known_instances(), 1024U);
}

}  // namespace
}  // namespace ramppond
