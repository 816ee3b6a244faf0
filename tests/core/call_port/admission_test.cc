#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "core/call_model/priority.h"
#include "core/call_port/admission_cut.h"
#include "core/call_port/admission_queue.h"
#include "core/call_port/concurrency_limiter.h"

namespace ramppond {
namespace {

WorkType workOf(WorkKind kind, std::uint32_t rank) {
  return {"work", "service", "/", kind, rank};
}

TEST(Priority, NoPositionInvertsKindOrRank) {
  EXPECT_TRUE(rc::check([](const std::string& first, const std::string& second) {
    const auto weight = *rc::gen::inRange<std::uint32_t>(1, kMaximumClassWeight + 1);
    const Level commit = admissionLevel(workOf(WorkKind::kCommitOnce, 15), 1, first);
    const Level lookup = admissionLevel(workOf(WorkKind::kLookup, 0), weight, second);
    const Level lower_lookup = admissionLevel(workOf(WorkKind::kLookup, 1), weight, first);
    const Level bulk = admissionLevel(workOf(WorkKind::kBulk, 0), kMaximumClassWeight, first);
    RC_ASSERT(commit < lookup);
    RC_ASSERT(lookup < lower_lookup);
    RC_ASSERT(lower_lookup < bulk);
    RC_ASSERT(kindOfLevel(bulk) == WorkKind::kBulk);
  }));
}

TEST(Priority, SharesUnderACutFollowTheWeights) {
  const WorkType work = workOf(WorkKind::kLookup, 0);
  const Level band = admissionLevel(work, 1, "any") / kPositionsPerBand * kPositionsPerBand;
  constexpr int kRequests = 20000;
  const auto admitted = [&](std::uint32_t weight, Level cut) {
    int count = 0;
    for (int request = 0; request < kRequests; ++request) {
      count += admissionLevel(work, weight, std::to_string(request)) <= band + cut ? 1 : 0;
    }
    return count;
  };
  constexpr Level kCut = kPositionsPerBand / 8;
  const double ratio = static_cast<double>(admitted(4, kCut)) / admitted(1, kCut);
  EXPECT_NEAR(ratio, 4.0, 0.4);
  EXPECT_GT(admitted(1, kCut), 0) << "the lowest class is not starved";
}

TEST(AdmissionQueue, ServesTheBestLevelNewestFirst) {
  AdmissionQueue queue(QueueOrder::kLevel);
  queue.push({1, 1}, 50, TimePoint(1));
  queue.push({1, 2}, 10, TimePoint(2));
  queue.push({1, 3}, 10, TimePoint(3));
  EXPECT_EQ(queue.popBest()->sequence, 3U);
  EXPECT_EQ(queue.popWorst()->sequence, 1U);
  EXPECT_EQ(queue.popBest()->sequence, 2U);
  EXPECT_FALSE(queue.popBest());
}

TEST(AdmissionQueue, FifoIgnoresLevels) {
  AdmissionQueue queue(QueueOrder::kFifo);
  queue.push({1, 1}, 50, TimePoint(1));
  queue.push({1, 2}, 10, TimePoint(2));
  EXPECT_EQ(queue.popBest()->sequence, 1U);
}

TEST(AdmissionQueue, EveryCallLeavesExactlyOnce) {
  EXPECT_TRUE(rc::check([] {
    AdmissionQueue queue(QueueOrder::kLevel);
    std::set<std::uint64_t> waiting;
    const auto steps = *rc::gen::inRange(1, 80);
    for (int step = 0; step < steps; ++step) {
      const auto choice = *rc::gen::inRange(0, 5);
      const auto number = static_cast<std::uint64_t>(step);
      if (choice <= 1) {
        queue.push({1, number}, *rc::gen::inRange<Level>(0, 100), TimePoint(step));
        waiting.insert(number);
      } else if (choice == 2) {
        const auto id = queue.popBest();
        RC_ASSERT(id.has_value() == !waiting.empty());
        RC_ASSERT(!id || waiting.erase(id->sequence) == 1);
      } else if (choice == 3) {
        const auto id = queue.popWorst();
        RC_ASSERT(!id || waiting.erase(id->sequence) == 1);
      } else {
        for (const CallId& id : queue.removeArrivedBefore(TimePoint(step / 2))) {
          RC_ASSERT(waiting.erase(id.sequence) == 1);
        }
      }
      RC_ASSERT(queue.size() == waiting.size());
    }
  }));
}

TEST(AdmissionCut, FallsToWhatTheServerServesAndRisesAgain) {
  AdmissionCut cut;
  TimePoint now(0);
  cut.update(now);
  EXPECT_EQ(cut.cut(), kLowestLevel);
  for (int window = 0; window < 10; ++window) {
    for (Level level = 0; level < 100; ++level) {
      cut.onArrival(level * 10, now);
      level < 50 ? cut.onDispatched() : cut.onOverloadRefusal();
    }
    now += milliseconds(100);
    cut.update(now);
  }
  EXPECT_NEAR(cut.cut(), 500, 60);
  EXPECT_NEAR(cut.refusedShare(), 0.5, 0.01);
  for (int window = 0; window < 15; ++window) {
    cut.onArrival(10, now);
    now += milliseconds(100);
    cut.update(now);
  }
  EXPECT_EQ(cut.cut(), kLowestLevel);
}

TEST(ConcurrencyLimiter, OnlyTheBackEndsOwnRefusalsLowerTheAdaptiveLimit) {
  const auto limiter = makeConcurrencyLimiter(LimiterKind::kAdaptive, 10);
  EXPECT_EQ(limiter->limit(), 10U);
  TimePoint now = seconds(1);
  for (int sample = 0; sample < 100; ++sample) {
    now += milliseconds(10);
    limiter->onSample({now, seconds(1), false});
  }
  EXPECT_EQ(limiter->limit(), 10U) << "a slow back end keeps its slots";
  for (int sample = 0; sample < 300; ++sample) {
    now += milliseconds(100);
    limiter->onSample({now, milliseconds(1), true});
  }
  EXPECT_EQ(limiter->limit(), 1U) << "never below one";
  for (int sample = 0; sample < 300; ++sample) {
    now += milliseconds(100);
    limiter->onSample({now, milliseconds(1), false});
  }
  EXPECT_EQ(limiter->limit(), 10U);
}

}  // namespace
}  // namespace ramppond
