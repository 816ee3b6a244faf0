// The queue beside a server with fair shares: order, eviction, rank of the root.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "core/admission/server_admission.h"
#include "core/random.h"

namespace ramppond {
namespace {

auto request_of(AdmissionId id, const std::string& caller, std::uint32_t rank = 1)
    -> AdmissionRequest {
  auto request = AdmissionRequest{id, rank, seconds(60), seconds(60), true, milliseconds(30)};
  request.root = request_root{rank, true, caller};
  return request;
}

/// One slot, which is held by a request of "first".
auto busy_server(bool fair_shares) -> ServerAdmission {
  auto admission = ServerAdmission();
  admission.setFairShares(fair_shares);
  admission.offer(request_of(1, "first"), seconds(1));
  return admission;
}

auto next_of(ServerAdmission& admission) -> AdmissionId {
  admission.onFinished(seconds(1), ServerOutcome::kAnswered, seconds(2));
  return admission.takeDispatchable(seconds(2)).value_or(0);
}

TEST(server_admission_shares, request_within_its_share_precedes_those_beyond) {
  for (const auto fair_shares : {false, true}) {
    auto admission = busy_server(fair_shares);
    auto now = TimePoint(seconds(1));
    for (AdmissionId id = 100; id < 400; ++id) {
      admission.offer(request_of(id, "large"), now += milliseconds(1));
    }
    admission.offer(request_of(500, "small"), now);
    auto waited = 0;
    for (; next_of(admission) != 500; ++waited) {
    }
    EXPECT_EQ(waited < 150, fair_shares) << waited;
  }
}

TEST(server_admission_shares, full_queue_evicts_a_request_beyond_its_share) {
  for (const auto fair_shares : {false, true}) {
    auto admission = busy_server(fair_shares);
    auto now = TimePoint(seconds(1));
    for (AdmissionId id = 100; id < 700; ++id) {
      admission.offer(request_of(id, "large"), now += milliseconds(1));
    }
    admission.takeEvicted();
    const auto verdict = admission.offer(request_of(900, "small"), now);
    EXPECT_EQ(verdict == AdmissionVerdict::kWait, fair_shares);
    EXPECT_EQ(admission.takeEvicted().size(), fair_shares ? 1U : 0U);
    EXPECT_EQ(admission.waiting(), 512U);
  }
}

TEST(server_admission_shares, less_urgent_request_evicts_no_more_urgent_one) {
  auto admission = busy_server(true);
  auto now = TimePoint(seconds(1));
  for (AdmissionId id = 100; id < 700; ++id) {
    admission.offer(request_of(id, "large", 0), now += milliseconds(1));
  }
  admission.takeEvicted();
  EXPECT_EQ(admission.offer(request_of(900, "small", 2), now), AdmissionVerdict::kRefuse);
}

TEST(server_admission_shares, known_root_gives_its_rank) {
  for (const auto fair_shares : {false, true}) {
    auto admission = busy_server(fair_shares);
    auto unimportant = request_of(2, "batch", 1);
    unimportant.root->rank = 5;
    auto important = request_of(3, "payment", 1);
    important.root->rank = 0;
    admission.offer(unimportant, seconds(1));
    admission.offer(important, seconds(1));
    EXPECT_EQ(next_of(admission), fair_shares ? 3U : 2U);
  }
}

// A call of an older proxy carries no root.
TEST(server_admission_shares, call_without_root_is_charged_to_its_calling_service) {
  auto admission = busy_server(true);
  auto now = TimePoint(seconds(1));
  auto call = request_of(0, "");
  call.root.reset();
  call.calling_service = "desk";
  for (call.id = 100; call.id < 400; ++call.id) {
    admission.offer(call, now += milliseconds(1));
  }
  EXPECT_GT(admission.excessOf(call, now), 0);
  call.calling_service = "other";
  EXPECT_EQ(admission.excessOf(call, now), 0);
}

TEST(server_admission_shares, excess_is_none_while_inactive_and_after_a_change) {
  auto admission = busy_server(true);
  auto now = TimePoint(seconds(1));
  for (AdmissionId id = 100; id < 400; ++id) {
    admission.offer(request_of(id, "large"), now += milliseconds(1));
  }
  ASSERT_GT(admission.excessOf(request_of(0, "large"), now), 0);
  admission.setFairShares(false);
  EXPECT_EQ(admission.excessOf(request_of(0, "large"), now), 0);
  admission.setFairShares(true);
  EXPECT_EQ(admission.excessOf(request_of(0, "large"), now), 0);
  EXPECT_NE(next_of(admission), 0U);
}

// Calls of one caller with different service times and patience, twice as many as there is room
// for.
TEST(server_admission_shares, single_caller_is_served_exactly_as_without_shares) {
  auto with = ServerAdmission();
  auto without = ServerAdmission();
  with.setFairShares(true);
  for (auto* const admission : {&with, &without}) {
    admission->setSlots(10);
  }
  auto random = Random(7);
  auto ends = std::multimap<TimePoint, std::pair<AdmissionId, TimePoint>>();
  auto now = TimePoint(seconds(1));
  for (AdmissionId id = 1; id < 20000; ++id) {
    now += Duration(static_cast<std::int64_t>(random.exponential(2500)));
    const auto time = Duration(static_cast<std::int64_t>(random.exponential(50000)));
    while (!ends.empty() && ends.begin()->first <= now) {
      const auto [ended, run] = *ends.begin();
      ends.erase(ends.begin());
      with.onFinished(run.second, ServerOutcome::kAnswered, ended, run.first);
      without.onFinished(run.second, ServerOutcome::kAnswered, ended, run.first);
      const auto expired = without.takeExpired(ended);
      const auto expired_with = with.takeExpired(ended);
      ASSERT_TRUE(std::is_permutation(expired.begin(), expired.end(), expired_with.begin(),
                                      expired_with.end()));
      while (const auto next = without.takeDispatchable(ended)) {
        ASSERT_EQ(with.takeDispatchable(ended), next);
        ends.insert({ended + time, {*next, ended}});
      }
      ASSERT_EQ(with.takeDispatchable(ended), std::nullopt);
    }
    auto request = request_of(id, "only");
    request.patience = milliseconds(100 + static_cast<std::int64_t>(random.below(400)));
    request.reference_wait = request.patience;
    request.service_time = milliseconds(10 + static_cast<std::int64_t>(random.below(300)));
    const auto verdict = without.offer(request, now);
    ASSERT_EQ(with.offer(request, now), verdict);
    if (verdict == AdmissionVerdict::kDispatch) {
      ends.insert({now + time, {id, now}});
    }
    ASSERT_EQ(with.shedLevel(now).value, without.shedLevel(now).value);
    ASSERT_EQ(with.excessOf(request, now), 0);
  }
}

}  // namespace
}  // namespace ramppond
