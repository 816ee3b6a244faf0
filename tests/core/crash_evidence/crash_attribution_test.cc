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

auto crash_of(const std::string& instance, std::vector<request_digest> under_way,
              std::vector<request_digest> isolated = {}) -> instance_evidence {
  auto evidence = instance_evidence();
  evidence.instance_id = instance;
  evidence.service = "templates";
  evidence.revision = 1;
  evidence.under_way = std::move(under_way);
  evidence.isolated = std::move(isolated);
  return evidence;
}

auto success_at(const std::string& instance, const request_digest& digest) -> instance_evidence {
  auto evidence = crash_of(instance, {});
  evidence.succeeded = {digest};
  return evidence;
}

auto name_of(const suspicion_state& held) -> std::string {
  static constexpr const char* names[] = {"unsuspected", "suspected", "on_trial", "barred"};
  return names[held.index()];
}

struct attribution_case {
  const char* name;
  std::vector<instance_evidence> records;
  const char* of_harmful;
  const char* of_beside;
};

// Keeps the name of a test the same in every run.
void PrintTo(const attribution_case& tested, std::ostream* out) {
  *out << tested.name;
}

class attribution_table : public testing::TestWithParam<attribution_case> {};

TEST_P(attribution_table, is_the_same_in_whatever_order_records_come) {
  auto records = GetParam().records;
  const auto by_instance = [](const auto& a, const auto& b) {
    return a.instance_id < b.instance_id;
  };
  std::sort(records.begin(), records.end(), by_instance);
  do {
    auto attribution = crash_attribution();
    for (const auto& record : records) {
      attribution.on_evidence(record, now);
      attribution.on_evidence(record, now);  // one that comes twice changes nothing
    }
    EXPECT_EQ(name_of(attribution.suspicion_of(harmful, now)), GetParam().of_harmful);
    EXPECT_EQ(name_of(attribution.suspicion_of(beside, now)), GetParam().of_beside);
  } while (std::next_permutation(records.begin(), records.end(), by_instance));
}

INSTANTIATE_TEST_SUITE_P(
    table, attribution_table,
    testing::Values(
        attribution_case{"nothing", {}, "unsuspected", "unsuspected"},
        attribution_case{"one_crash", {crash_of("a", {harmful, beside})}, "suspected", "suspected"},
        attribution_case{"two_crashes_with_others_to_blame",
                         {crash_of("a", {harmful, beside}), crash_of("b", {harmful, beside})},
                         "suspected",
                         "suspected"},
        attribution_case{
            "two_crashes_the_second_isolated",
            {crash_of("a", {harmful, beside}), crash_of("b", {harmful, other}, {harmful})},
            "barred",
            "unsuspected"},
        attribution_case{"one_crash_isolated_after_a_report",
                         {crash_of("a", {harmful}, {harmful})},
                         "suspected",
                         "unsuspected"},
        attribution_case{
            "two_crashes_isolated_beside_another_suspect",
            {crash_of("a", {harmful, beside}), crash_of("b", {harmful, beside}, {beside})},
            "suspected",
            "suspected"},
        attribution_case{"two_crashes_at_once_with_nothing_beside",
                         {crash_of("a", {harmful}), crash_of("b", {harmful})},
                         "suspected",
                         "unsuspected"},
        attribution_case{
            "three_crashes_at_once",
            {crash_of("a", {harmful, beside}), crash_of("b", {harmful}), crash_of("c", {harmful})},
            "on_trial",
            "suspected"},
        attribution_case{"a_later_crash_of_what_is_blocked",
                         {crash_of("a", {harmful}), crash_of("b", {harmful}, {harmful}),
                          crash_of("c", {harmful, beside})},
                         "barred",
                         "unsuspected"}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(crash_attribution, a_success_anywhere_clears_a_request) {
  auto attribution = crash_attribution();
  for (const auto* instance : {"a", "b", "c"}) {
    attribution.on_evidence(crash_of(instance, {beside}), now);
  }
  EXPECT_EQ(name_of(attribution.suspicion_of(beside, now)), "on_trial");
  attribution.on_evidence(success_at("d", beside), now);
  EXPECT_EQ(name_of(attribution.suspicion_of(beside, now)), "unsuspected");
  // The record of a crash at the same moment comes later.
  attribution.on_evidence(crash_of("e", {beside}), now + seconds(1));
  EXPECT_EQ(name_of(attribution.suspicion_of(beside, now + seconds(1))), "unsuspected");
}

TEST(crash_attribution, only_successes_that_change_something_are_reported) {
  auto attribution = crash_attribution();
  EXPECT_FALSE(attribution.on_success(beside, now));
  attribution.on_evidence(crash_of("a", {beside}), now);
  attribution.on_evidence(crash_of("b", {beside}), now);
  EXPECT_TRUE(attribution.on_success(beside, now));
  EXPECT_FALSE(attribution.on_success(beside, now + seconds(1)));
}

TEST(crash_attribution, a_wrong_block_is_withdrawn_and_its_crashes_are_open_again) {
  auto attribution = crash_attribution();
  attribution.on_evidence(crash_of("a", {beside, harmful}), now);
  attribution.on_evidence(crash_of("b", {beside}, {beside}), now);
  EXPECT_EQ(name_of(attribution.suspicion_of(beside, now)), "barred");
  EXPECT_EQ(name_of(attribution.suspicion_of(harmful, now)), "unsuspected");
  EXPECT_TRUE(attribution.on_success(beside, now));
  EXPECT_EQ(attribution.withdrawn_blocks(), 1U);
  EXPECT_EQ(name_of(attribution.suspicion_of(beside, now)), "unsuspected");
  EXPECT_EQ(name_of(attribution.suspicion_of(harmful, now)), "suspected");
}

TEST(crash_attribution, a_block_ends_and_one_more_crash_makes_it_longer) {
  auto attribution = crash_attribution();
  attribution.on_evidence(crash_of("a", {harmful}), now);
  attribution.on_evidence(crash_of("b", {harmful}, {harmful}), now);
  const auto blocks = attribution.take_blocks();
  ASSERT_EQ(blocks.size(), 1U);
  EXPECT_EQ(blocks[0].instances, (std::vector<std::string>{"a", "b"}));
  const auto later = now + blocks[0].length;
  EXPECT_EQ(name_of(attribution.suspicion_of(harmful, later - seconds(1))), "barred");
  EXPECT_EQ(name_of(attribution.suspicion_of(harmful, later)), "on_trial");
  attribution.on_evidence(crash_of("c", {harmful}, {harmful}), later);
  const auto again = attribution.take_blocks();
  ASSERT_EQ(again.size(), 1U);
  EXPECT_EQ(again[0].length, 2 * blocks[0].length);
}

TEST(crash_attribution, a_record_that_holds_fewer_requests_clears_the_others) {
  auto attribution = crash_attribution();
  attribution.on_evidence(crash_of("a", {harmful, beside}), now);
  auto fewer = crash_of("a", {harmful});
  fewer.revision = 2;
  attribution.on_evidence(fewer, now);
  EXPECT_EQ(name_of(attribution.suspicion_of(beside, now)), "unsuspected");
  EXPECT_EQ(name_of(attribution.suspicion_of(harmful, now)), "suspected");
}

TEST(crash_attribution, a_reported_crash_counts_until_the_record_can_have_come) {
  auto attribution = crash_attribution();
  attribution.on_reported_crash(harmful, now);
  EXPECT_EQ(name_of(attribution.suspicion_of(harmful, now)), "suspected");
  EXPECT_EQ(name_of(attribution.suspicion_of(harmful, now + seconds(10))), "unsuspected");
}

TEST(crash_attribution, old_crashes_count_no_more) {
  auto attribution = crash_attribution();
  attribution.on_evidence(crash_of("a", {harmful}), now);
  EXPECT_EQ(name_of(attribution.suspicion_of(harmful, now + evidence_lifetime)), "unsuspected");
  auto old = crash_of("b", {beside});
  old.age = evidence_lifetime;
  attribution.on_evidence(old, now);
  EXPECT_EQ(name_of(attribution.suspicion_of(beside, now)), "unsuspected");
}

// A caller with a new identity for each request fills nothing and pushes no block out.
TEST(crash_attribution, is_bounded_whatever_crashes_under_whatever) {
  auto attribution = crash_attribution();
  attribution.on_evidence(crash_of("a", {harmful}), now);
  attribution.on_evidence(crash_of("b", {harmful}, {harmful}), now);
  auto next = std::uint64_t(10);
  for (auto instance = 0; instance < 500; ++instance) {
    auto under_way = std::vector<request_digest>();
    for (auto request = 0; request < 200; ++request) {
      under_way.push_back({next, next});
      ++next;
    }
    attribution.on_evidence(crash_of("flood-" + std::to_string(instance), under_way), now);
    EXPECT_LE(attribution.size(), 9000U);
  }
  EXPECT_EQ(name_of(attribution.suspicion_of(harmful, now)), "barred");
}

// A request that was dropped for want of room may still be listed by a crash that stays.
TEST(crash_attribution, outlives_the_records_and_requests_that_were_dropped) {
  auto attribution = crash_attribution();
  auto next = std::uint64_t(10);
  const auto flood = [&](TimePoint when) {
    for (auto instance = 0; instance < 80; ++instance) {
      auto under_way = std::vector<request_digest>{harmful};
      for (auto request = 0; request < 200; ++request) {
        under_way.push_back({next, next});
        ++next;
      }
      attribution.on_evidence(crash_of("i-" + std::to_string(next), under_way, {harmful}), when);
    }
  };
  flood(now);
  EXPECT_EQ(name_of(attribution.suspicion_of(harmful, now)), "barred");
  flood(now + evidence_lifetime);
  flood(now + 2 * evidence_lifetime);
  EXPECT_EQ(name_of(attribution.suspicion_of(harmful, now + 2 * evidence_lifetime)), "barred");
  for (auto instance = 0; instance < 5000; ++instance) {
    attribution.on_evidence(success_at("quiet-" + std::to_string(instance), beside),
                            now + 2 * evidence_lifetime);
  }
  EXPECT_EQ(name_of(attribution.suspicion_of(harmful, now + 2 * evidence_lifetime)), "barred");
}

// Instances that only report successes take up the same room.
TEST(crash_attribution, holds_1024_instances_at_most) {
  auto attribution = crash_attribution();
  const auto own_request = [](std::uint64_t instance) {
    return request_digest{instance, instance};
  };
  const auto count_suspected = [&] {
    auto count = std::size_t(0);
    for (auto instance = std::uint64_t(0); instance < 5000; ++instance) {
      const auto held = attribution.suspicion_of(own_request(instance), now);
      count += std::holds_alternative<suspected>(held) ? 1 : 0;
    }
    return count;
  };
  for (auto instance = std::uint64_t(0); instance < 5000; ++instance) {
    const auto name = "crashed-" + std::to_string(instance);
    attribution.on_evidence(crash_of(name, {own_request(instance)}), now);
    EXPECT_EQ(name_of(attribution.suspicion_of(own_request(instance), now)), "suspected");
  }
  EXPECT_LE(count_suspected(), 1024U);
  EXPECT_GT(count_suspected(), 0U);
  for (auto instance = 0; instance < 1024; ++instance) {
    attribution.on_evidence(success_at("quiet-" + std::to_string(instance), {9999, 9999}),
                            now + seconds(1));
  }
  EXPECT_EQ(count_suspected(), 0U);
}

}  // namespace
}  // namespace ramppond
