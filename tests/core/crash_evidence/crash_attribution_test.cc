#include "core/crash_evidence/crash_attribution.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

namespace ramppond {
namespace {

constexpr auto harmful = request_digest{1, 1};
constexpr auto unrelated = request_digest{2, 2};
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
  static constexpr const char* names[] = {"unsuspected", "suspected", "quarantined", "barred"};
  return names[held.index()];
}

struct attribution_case {
  const char* name;
  std::vector<instance_evidence> records;
  const char* expected_harmful;
  const char* expected_unrelated;
};

// Without this, gtest prints the bytes of the struct, which differ between runs.
void PrintTo(const attribution_case& tested, std::ostream* out) {
  *out << tested.name;
}

class attribution_table : public testing::TestWithParam<attribution_case> {};

TEST_P(attribution_table, result_does_not_depend_on_record_order) {
  auto records = GetParam().records;
  const auto by_instance = [](const auto& a, const auto& b) {
    return a.instance_id < b.instance_id;
  };
  std::sort(records.begin(), records.end(), by_instance);
  do {
    auto attribution = crash_attribution();
    for (const auto& record : records) {
      attribution.on_evidence(record, now);
      attribution.on_evidence(record, now);  // duplicates have no effect
    }
    EXPECT_EQ(name_of(attribution.suspicion_of(harmful, now)), GetParam().expected_harmful);
    EXPECT_EQ(name_of(attribution.suspicion_of(unrelated, now)), GetParam().expected_unrelated);
  } while (std::next_permutation(records.begin(), records.end(), by_instance));
}

INSTANTIATE_TEST_SUITE_P(
    table, attribution_table,
    testing::Values(
        attribution_case{"nothing", {}, "unsuspected", "unsuspected"},
        attribution_case{
            "one_crash", {crash_of("a", {harmful, unrelated})}, "suspected", "suspected"},
        attribution_case{"two_crashes_with_others_to_blame",
                         {crash_of("a", {harmful, unrelated}), crash_of("b", {harmful, unrelated})},
                         "suspected",
                         "suspected"},
        attribution_case{
            "two_crashes_the_second_isolated",
            {crash_of("a", {harmful, unrelated}), crash_of("b", {harmful, other}, {harmful})},
            "barred",
            "unsuspected"},
        attribution_case{"one_crash_isolated_after_a_report",
                         {crash_of("a", {harmful}, {harmful})},
                         "suspected",
                         "unsuspected"},
        attribution_case{
            "two_crashes_isolated_beside_another_suspect",
            {crash_of("a", {harmful, unrelated}), crash_of("b", {harmful, unrelated}, {unrelated})},
            "suspected",
            "suspected"},
        attribution_case{"two_crashes_at_once_with_nothing_beside",
                         {crash_of("a", {harmful}), crash_of("b", {harmful})},
                         "suspected",
                         "unsuspected"},
        attribution_case{"three_crashes_at_once",
                         {crash_of("a", {harmful, unrelated}), crash_of("b", {harmful}),
                          crash_of("c", {harmful})},
                         "quarantined",
                         "suspected"},
        attribution_case{"a_later_crash_of_what_is_blocked",
                         {crash_of("a", {harmful}), crash_of("b", {harmful}, {harmful}),
                          crash_of("c", {harmful, unrelated})},
                         "barred",
                         "unsuspected"}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(crash_attribution, success_at_any_server_clears_a_request) {
  auto attribution = crash_attribution();
  for (const auto* instance : {"a", "b", "c"}) {
    attribution.on_evidence(crash_of(instance, {unrelated}), now);
  }
  EXPECT_EQ(name_of(attribution.suspicion_of(unrelated, now)), "quarantined");
  attribution.on_evidence(success_at("d", unrelated), now);
  EXPECT_EQ(name_of(attribution.suspicion_of(unrelated, now)), "unsuspected");
  // A crash at about the time of the success does not count either.
  attribution.on_evidence(crash_of("e", {unrelated}), now + seconds(1));
  EXPECT_EQ(name_of(attribution.suspicion_of(unrelated, now + seconds(1))), "unsuspected");
}

TEST(crash_attribution, only_successes_that_change_a_verdict_are_reported) {
  auto attribution = crash_attribution();
  EXPECT_FALSE(attribution.on_success(unrelated, now));
  attribution.on_evidence(crash_of("a", {unrelated}), now);
  attribution.on_evidence(crash_of("b", {unrelated}), now);
  EXPECT_TRUE(attribution.on_success(unrelated, now));
  EXPECT_FALSE(attribution.on_success(unrelated, now + seconds(1)));
}

TEST(crash_attribution, success_withdraws_a_block_and_its_crashes_count_against_others_again) {
  auto attribution = crash_attribution();
  attribution.on_evidence(crash_of("a", {unrelated, harmful}), now);
  attribution.on_evidence(crash_of("b", {unrelated}, {unrelated}), now);
  EXPECT_EQ(name_of(attribution.suspicion_of(unrelated, now)), "barred");
  EXPECT_EQ(name_of(attribution.suspicion_of(harmful, now)), "unsuspected");
  EXPECT_TRUE(attribution.on_success(unrelated, now));
  EXPECT_EQ(attribution.withdrawn_blocks(), 1U);
  EXPECT_EQ(name_of(attribution.suspicion_of(unrelated, now)), "unsuspected");
  EXPECT_EQ(name_of(attribution.suspicion_of(harmful, now)), "suspected");
}

TEST(crash_attribution, crash_after_the_end_of_a_block_doubles_the_next_block) {
  auto attribution = crash_attribution();
  attribution.on_evidence(crash_of("a", {harmful}), now);
  attribution.on_evidence(crash_of("b", {harmful}, {harmful}), now);
  const auto blocks = attribution.take_blocks();
  ASSERT_EQ(blocks.size(), 1U);
  EXPECT_EQ(blocks[0].instances, (std::vector<std::string>{"a", "b"}));
  const auto later = now + blocks[0].length;
  EXPECT_EQ(name_of(attribution.suspicion_of(harmful, later - seconds(1))), "barred");
  EXPECT_EQ(name_of(attribution.suspicion_of(harmful, later)), "quarantined");
  attribution.on_evidence(crash_of("c", {harmful}, {harmful}), later);
  const auto again = attribution.take_blocks();
  ASSERT_EQ(again.size(), 1U);
  EXPECT_EQ(again[0].length, 2 * blocks[0].length);
}

TEST(crash_attribution, newer_record_with_fewer_requests_clears_the_others) {
  auto attribution = crash_attribution();
  attribution.on_evidence(crash_of("a", {harmful, unrelated}), now);
  auto fewer = crash_of("a", {harmful});
  fewer.revision = 2;
  attribution.on_evidence(fewer, now);
  EXPECT_EQ(name_of(attribution.suspicion_of(unrelated, now)), "unsuspected");
  EXPECT_EQ(name_of(attribution.suspicion_of(harmful, now)), "suspected");
}

TEST(crash_attribution, reported_crash_counts_for_a_limited_time) {
  auto attribution = crash_attribution();
  attribution.on_reported_crash(harmful, now);
  EXPECT_EQ(name_of(attribution.suspicion_of(harmful, now)), "suspected");
  EXPECT_EQ(name_of(attribution.suspicion_of(harmful, now + seconds(10))), "unsuspected");
}

TEST(crash_attribution, expired_crashes_do_not_count) {
  auto attribution = crash_attribution();
  attribution.on_evidence(crash_of("a", {harmful}), now);
  EXPECT_EQ(name_of(attribution.suspicion_of(harmful, now + evidence_lifetime)), "unsuspected");
  auto old = crash_of("b", {unrelated});
  old.age = evidence_lifetime;
  attribution.on_evidence(old, now);
  EXPECT_EQ(name_of(attribution.suspicion_of(unrelated, now)), "unsuspected");
}

// Guards against a caller with a new identity for each request exhausting memory or evicting
// blocks.
TEST(crash_attribution, flood_of_distinct_requests_is_bounded_and_keeps_blocks) {
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

// Guards against access to a request that was dropped to free space while a crash still lists it.
TEST(crash_attribution, dropped_records_and_requests_do_not_affect_a_block) {
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
    attribution.on_evidence(success_at("quiet-" + std::to_string(instance), unrelated),
                            now + 2 * evidence_lifetime);
  }
  EXPECT_EQ(name_of(attribution.suspicion_of(harmful, now + 2 * evidence_lifetime)), "barred");
}

// Instances that only report successes count towards the same limit.
TEST(crash_attribution, holds_at_most_1024_instances) {
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
